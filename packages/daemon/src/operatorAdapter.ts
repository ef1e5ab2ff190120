import type { CommitResult, ConfigEntry, Core, JsonObject, Revision } from '@rosedeck/core';
import { z } from 'zod';
import type { AuditLog, AuditRecord } from './auditLog';
import type { ChangeResult, ConfigAdapter } from './configAdapter';
import type { ConfigStore } from './configStore';
import { explainSettings } from './explain';
import { createErrorReply, startOperatorServer } from './operatorServer';
import type {
  OperatorCall,
  OperatorReply,
  OperatorRoutes,
  OperatorServer,
  OperatorServerOptions,
} from './operatorServer';
import { redactSecrets } from './redact';
import type { DaemonStatus } from './status';
import type { Tree } from './treeSchema';

/** Functions and settings that the operator adapter needs. */
export interface OperatorAdapterOptions extends Omit<OperatorServerOptions, 'onDenied'> {
  readonly core: Core;
  readonly config: ConfigAdapter;
  readonly store: ConfigStore;
  readonly audit: AuditLog;
  readonly tree: () => Tree;
  readonly status: () => DaemonStatus;
  readonly drain: () => void;
  /** Called with each change that was accepted or refused. */
  readonly onChange: (record: AuditRecord) => void;
}

const jsonObject = z.record(z.string(), z.json());

const changeSchema = z.strictObject({
  id: z.string().min(1).max(128),
  expected: z.number().int().nonnegative().optional(),
  change: z.discriminatedUnion('kind', [
    z.strictObject({ kind: z.literal('patch'), patch: jsonObject }),
    z.strictObject({ kind: z.literal('replace'), tree: jsonObject }),
  ]),
});

/** Body of `POST /change`. */
export type ChangeBody = z.infer<typeof changeSchema>;

const MAX_LIST_LIMIT = 1_000;
const DEFAULT_LIST_LIMIT = 20;

/** Starts the operator adapter: the routes of the operator port. */
export function startOperatorAdapter(options: OperatorAdapterOptions): Promise<OperatorServer> {
  const recordRefusal = (who: string, id: string, reason: string, patch?: JsonObject): void => {
    const record: AuditRecord = {
      at: new Date().toISOString(),
      who,
      id,
      result: 'refused',
      revision: options.core.world.config.revision,
      reason,
      patch: patch && redactSecrets(patch),
    };
    options.audit.record(record);
    options.onChange(record);
  };

  const change = async ({ who, body }: OperatorCall): Promise<OperatorReply> => {
    const parsed = changeSchema.safeParse(body);
    if (!parsed.success) {
      recordRefusal(who, '', 'malformed request');
      return createErrorReply(400, 'bad_request', z.prettifyError(parsed.error));
    }
    const { id, change: requested } = parsed.data;
    const result = await options.config.change({ ...parsed.data, who });
    const patch = requested.kind === 'patch' ? requested.patch : undefined;
    const reason = describeRefusal(result.commit);
    if (reason !== undefined) recordRefusal(who, id, reason, patch);
    else if (result.commit.kind === 'accepted')
      options.onChange(createAcceptedRecord(result.commit.entry));
    return createChangeReply(result);
  };

  const routes: OperatorRoutes = {
    'POST /change': change,
    'GET /config': () => ({ status: 200, body: { ...readCurrentConfig(options) } }),
    'GET /explain': ({ query }) => explain(options, query),
    'GET /history': async ({ query }) =>
      createListReply(() => readHistory(options, parseLimit(query))),
    'GET /audit': async ({ query }) => createListReply(() => readAudit(options, parseLimit(query))),
    'GET /status': () => ({ status: 200, body: options.status() }),
    'POST /drain': () => {
      options.drain();
      return { status: 202, body: options.status() };
    },
  };
  const onDenied = (route: string): void => {
    if (route === 'POST /change') recordRefusal('unknown', '', 'no operator has this token');
  };
  return startOperatorServer({ ...options, onDenied }, routes);
}

function readCurrentConfig(options: OperatorAdapterOptions): {
  revision: Revision;
  tree: JsonObject;
} {
  const { revision, tree } = options.core.world.config;
  return { revision, tree };
}

function describeRefusal(commit: CommitResult): string | undefined {
  switch (commit.kind) {
    case 'conflict':
      return `the revision is ${commit.revision}`;
    case 'refused':
      return commit.faults.join('; ');
    case 'unavailable':
      return commit.maybe
        ? 'the store did not answer; outcome unknown'
        : 'the store did not answer';
    default:
      return undefined;
  }
}

function createChangeReply({ commit, propagation }: ChangeResult): OperatorReply {
  switch (commit.kind) {
    case 'accepted':
      return {
        status: 200,
        body: { changed: true, revision: commit.entry.revision, ...propagation },
      };
    case 'unchanged':
      return { status: 200, body: { changed: false, revision: commit.revision, inForce: true } };
    case 'conflict':
      return { status: 409, body: { error: 'conflict', revision: commit.revision } };
    case 'refused':
      return { status: 422, body: { error: 'refused', faults: commit.faults } };
    case 'unavailable':
      return { status: 503, body: { error: 'unavailable', maybe: commit.maybe } };
  }
}

function explain(options: OperatorAdapterOptions, query: URLSearchParams): OperatorReply {
  const settings = explainSettings(options.tree(), {
    customer: query.get('customer') ?? undefined,
    group: query.get('group') ?? undefined,
    cls: query.get('class') ?? undefined,
  });
  if (!settings) return createErrorReply(404, 'not_found', 'no such customer, group or class');
  return { status: 200, body: { revision: options.core.world.config.revision, settings } };
}

async function createListReply(read: () => Promise<readonly unknown[]>): Promise<OperatorReply> {
  try {
    return { status: 200, body: await read() };
  } catch (cause) {
    return createErrorReply(503, 'unavailable', `the store did not answer: ${String(cause)}`);
  }
}

async function readHistory(options: OperatorAdapterOptions, limit: number): Promise<ConfigEntry[]> {
  const newest = options.core.world.config.revision;
  const oldest = Math.max(1, newest - limit + 1);
  const entries: ConfigEntry[] = [];
  for (let revision = oldest; revision <= newest; revision += 1) {
    const entry = await options.store.read(revision);
    if (entry) entries.push({ ...entry, patch: redactSecrets(entry.patch) });
  }
  return entries;
}

async function readAudit(options: OperatorAdapterOptions, limit: number): Promise<AuditRecord[]> {
  const accepted = (await readHistory(options, limit)).map(createAcceptedRecord);
  const refused = await options.audit.read(limit);
  const all = [...accepted, ...refused].sort((a, b) => a.at.localeCompare(b.at));
  return all.slice(-limit);
}

function createAcceptedRecord(entry: ConfigEntry): AuditRecord {
  const { at, who, id, revision, patch } = entry;
  return { at, who, id, result: 'accepted', revision, patch: redactSecrets(patch) };
}

function parseLimit(query: URLSearchParams): number {
  const limit = Number(query.get('limit') ?? DEFAULT_LIST_LIMIT);
  return Number.isInteger(limit) && limit > 0
    ? Math.min(limit, MAX_LIST_LIMIT)
    : DEFAULT_LIST_LIMIT;
}
