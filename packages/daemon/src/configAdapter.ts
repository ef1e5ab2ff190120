import {
  commitChange,
  confirmerMajority,
  createConfigAnswer,
  propagateEntry,
} from '@rosedeck/core';
import type {
  ChangeRequest,
  CommitIo,
  CommitResult,
  ConfigAnswer,
  ConfigPoll,
  ConfigCommand,
  ConfigEntry,
  ConfigPush,
  Core,
  CoreEvent,
  PropagationIo,
  PropagationResult,
} from '@rosedeck/core';
import type { ByteCounter } from '@rosedeck/clients';
import type { Clock, InstanceId, Millis } from '@rosedeck/shared';
import { SNAPSHOT_INTERVAL_REVISIONS } from './configStore';
import type { ConfigStore } from './configStore';
import type { PeerAdapter } from './peerAdapter';
import { checkTree } from './treeCheck';
import type { Tree } from './treeSchema';

/** Runs the core's configuration commands and commits changes of operators. */
export interface ConfigAdapter {
  perform: (command: ConfigCommand) => void;
  answerPoll: (poll: ConfigPoll) => ConfigAnswer;
  /** Posts a pushed entry to the core; returns the revision in force here. */
  applyPush: (push: ConfigPush) => number;
  /** Commits a change and propagates it to the peers before it returns. */
  change: (request: ChangeRequest) => Promise<ChangeResult>;
}

/** Result of a change; `propagation` is present when the change was accepted. */
export interface ChangeResult {
  readonly commit: CommitResult;
  readonly propagation?: PropagationResult;
}

/** Functions and settings that the configuration adapter needs. */
export interface ConfigAdapterOptions {
  readonly self: InstanceId;
  readonly clock: Clock;
  readonly core: Core;
  readonly store: ConfigStore;
  readonly peers: () => Pick<PeerAdapter, 'askConfig' | 'pushConfig'>;
  readonly configLimitMs: Millis;
  readonly countBytes: ByteCounter;
  readonly post: (event: CoreEvent) => void;
  readonly applyTree: (tree: Tree, revision: number) => void;
}

/** Bytes that the protocol between daemons adds to each message. */
const MESSAGE_OVERHEAD_BYTES = 70;

/** Creates the configuration adapter of a daemon. */
export function createConfigAdapter(options: ConfigAdapterOptions): ConfigAdapter {
  const { self, core, store, post } = options;

  const countMessage = (direction: 'sent' | 'received', message: unknown): void => {
    options.countBytes(direction, JSON.stringify(message).length + MESSAGE_OVERHEAD_BYTES);
  };

  const loadSnapshot = (): void => {
    store.readSnapshot().then(
      (snapshot) => {
        post({ type: 'config_loaded', snapshot });
      },
      () => {
        post({ type: 'config_load_failed' });
      },
    );
  };

  const watchEntry = ({
    revision,
    waitMs,
  }: Extract<ConfigCommand, { type: 'config_watch' }>): void => {
    void store.watch(revision, waitMs).then((result) => {
      post({ type: 'config_watched', revision, result });
    });
  };

  const pollPeer = (peer: InstanceId): void => {
    const { config, draining } = core.world;
    const poll: ConfigPoll = { from: self, revision: config.revision, leaving: draining };
    options
      .peers()
      .askConfig(peer, poll)
      .then(
        (answer) => {
          countMessage('sent', poll);
          countMessage('received', answer);
          post({ type: 'config_answered', peer, answer });
        },
        () => {
          post({ type: 'config_answered', peer });
        },
      );
  };

  const applyConfig = ({
    revision,
    tree,
  }: Extract<ConfigCommand, { type: 'config_apply' }>): void => {
    const checked = checkTree(`revision ${revision}`, tree);
    if (checked.tree) options.applyTree(checked.tree, revision);
    else post({ type: 'config_rejected', revision });
  };

  const commitIo: CommitIo = {
    clock: options.clock,
    timestamp: () => new Date().toISOString(),
    sleep,
    current: () => core.world.config,
    check: (tree) =>
      checkTree('change', tree).issues.map((issue) => `${issue.key}: ${issue.problem}`),
    create: store.create,
    read: store.read,
    apply: (entry) => {
      post({ type: 'config_entry', entry });
    },
  };

  const propagationIo: PropagationIo = {
    clock: options.clock,
    sleep,
    configLimitMs: options.configLimitMs,
    peers: () => [...core.world.peers.keys()].filter((id) => id !== self),
    isMajority: (acknowledged) => {
      const { confirmers } = core.world.config;
      const supporters = confirmers.filter((id) => id === self || acknowledged.has(id));
      return supporters.length >= confirmerMajority(core.world);
    },
    push: async (peer, entry) => {
      const push = { from: self, entry };
      const peerRevision = await options.peers().pushConfig(peer, push);
      countMessage('sent', push);
      return peerRevision >= entry.revision;
    },
  };

  const storeSnapshotIfDue = (entry: ConfigEntry): void => {
    if (entry.revision % SNAPSHOT_INTERVAL_REVISIONS !== 0) return;
    const { revision, tree } = core.world.config;
    store.storeSnapshot({ revision, tree }).catch(() => undefined);
  };

  return {
    perform: (command) => {
      if (command.type === 'config_load') loadSnapshot();
      else if (command.type === 'config_watch') watchEntry(command);
      else if (command.type === 'config_ask') pollPeer(command.to);
      else applyConfig(command);
    },
    answerPoll: (poll) => {
      post({ type: 'config_asked', ask: poll });
      const answer = createConfigAnswer(core.world, poll.revision);
      countMessage('received', poll);
      countMessage('sent', answer);
      return answer;
    },
    applyPush: (push) => {
      countMessage('received', push);
      post({ type: 'config_pushed', push });
      return core.world.config.revision;
    },
    change: async (request) => {
      const commit = await commitChange(commitIo, request);
      if (commit.kind !== 'accepted') return { commit };
      storeSnapshotIfDue(commit.entry);
      return { commit, propagation: await propagateEntry(propagationIo, commit.entry) };
    },
  };
}

function sleep(ms: Millis): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
