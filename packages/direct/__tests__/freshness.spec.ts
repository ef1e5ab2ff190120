import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { mayDeny, mustFetchView, nextFreshnessStep, provenAtWith } from '../src/index';
import type { ProvenView } from '../src/index';
import { createRandom } from './rig';

const APPLY_MS = 5_000;

interface Daemon {
  /** Newest change that the daemon has. */
  revision: number;
  view: ProvenView;
  peerAskedAt: number;
  storeAskedAt: number;
  /** Since when the daemon has known that a peer has a newer view. */
  behindSince?: number;
  readonly jitter: number;
  readonly canAskStore: boolean;
  readonly isCut: boolean;
}

/** Whether proofs are taken from reports alone, as before, or only for views that contain them. */
type Policy = 'last report' | 'proof with its view';

interface Outcome {
  /** Wrong denials by daemons that are not cut off, `APPLY_MS` after the acknowledgement. */
  readonly wrongDenials: number;
  /** Longest time for which a daemon that is not cut off lacked the change. */
  readonly longestMs: number;
}

/**
 * Plays 300 daemons while one change is acknowledged: reports go to three daemons at random and carry
 * the age of the contact with the store; a third of the daemons is cut off, the store turns another
 * third away, and the few watchers may all be among them.
 */
function play(seed: number, policy: Policy): Outcome {
  const random = createRandom(seed);
  const daemons = Array.from({ length: 300 }, (): Daemon => {
    const place = random();
    return {
      revision: 1,
      view: { era: 0, completeTo: 1, provenAt: 0 },
      peerAskedAt: -Infinity,
      storeAskedAt: -Infinity,
      jitter: random(),
      isCut: place < 0.33,
      canAskStore: place > 0.66,
    };
  });
  const watchers = daemons.slice(0, 6);
  const changeAt = 1_000;
  let wrongDenials = 0;
  let longestMs = 0;
  const readStore = (daemon: Daemon, now: number): void => {
    daemon.revision = now >= changeAt ? 2 : 1;
    daemon.view = { era: 0, completeTo: daemon.revision, provenAt: now };
  };
  const adopt = (daemon: Daemon, from: Daemon): void => {
    const proof = { era: 0, revision: from.revision, at: from.view.provenAt };
    daemon.view =
      policy === 'last report'
        ? { ...daemon.view, provenAt: Math.max(daemon.view.provenAt, proof.at) }
        : { ...daemon.view, provenAt: provenAtWith(daemon.view, proof) };
  };
  const fetchView = (daemon: Daemon, from: Daemon): void => {
    daemon.revision = Math.max(daemon.revision, from.revision);
    daemon.view = { ...daemon.view, completeTo: daemon.revision };
    adopt(daemon, from);
  };
  /** A report arrives: its proof is adopted, and a view that is newer for some time is fetched. */
  const hear = (daemon: Daemon, from: Daemon, now: number): void => {
    adopt(daemon, from);
    if (from.revision <= daemon.revision) return;
    daemon.behindSince ??= now;
    const fetches = mustFetchView({
      behindMs: now - daemon.behindSince,
      isNear: false,
      isWatching: false,
      storeAgeMs: now - from.view.provenAt,
      sinceFetchMs: now - daemon.peerAskedAt,
    });
    if (!fetches) return;
    daemon.peerAskedAt = now;
    fetchView(daemon, from);
  };
  const pick = (): Daemon | undefined => daemons[Math.floor(random() * daemons.length)];
  for (let now = 0; now < 9_000; now += 50) {
    for (const daemon of daemons) {
      if (daemon.isCut) continue;
      if (now % 350 === 0)
        for (let sent = 0; sent < 3; sent += 1) {
          const receiver = pick();
          if (receiver && !receiver.isCut) hear(receiver, daemon, now);
        }
      const step = nextFreshnessStep({
        provenMs: now - daemon.view.provenAt,
        sincePeerMs: now - daemon.peerAskedAt,
        sinceStoreMs: now - daemon.storeAskedAt,
        watcherPlace: watchers.includes(daemon) ? watchers.indexOf(daemon) / 6 : undefined,
        jitter: daemon.jitter,
        applyMs: APPLY_MS,
      });
      if (step === 'ask_peer') {
        daemon.peerAskedAt = now;
        const peer = pick();
        if (peer && !peer.isCut) fetchView(daemon, peer);
      }
      if (step === 'ask_store') {
        daemon.storeAskedAt = now;
        if (daemon.canAskStore) readStore(daemon, now);
      }
      if (now > changeAt && daemon.revision < 2) {
        longestMs = Math.max(longestMs, now - changeAt);
        const denies = mayDeny(now - daemon.view.provenAt, APPLY_MS, Infinity);
        if (denies && now > changeAt + APPLY_MS) wrongDenials += 1;
      }
    }
  }
  return { wrongDenials, longestMs };
}

// A store that was restored from a copy gives revisions out again.
test('a proof holds only for views of its own era', () => {
  const view: ProvenView = { era: 1, completeTo: 40, provenAt: 100 };
  const provenAt = (era: number): number => provenAtWith(view, { era, revision: 30, at: 900 });
  assert.is(provenAt(1), 900);
  assert.is(provenAt(0), 100);
  assert.is(provenAt(2), 100);
});

test('300 daemons learn a change in time while a third is cut off and a third turned away', () => {
  for (let seed = 1; seed <= 12; seed += 1) {
    const outcome = play(seed, 'proof with its view');
    assert.is(outcome.wrongDenials, 0, `seed ${seed}`);
    assert.ok(outcome.longestMs < APPLY_MS, `seed ${seed}: ${outcome.longestMs} ms`);
  }
});

// Contact with the store is heard of before the change that it covers.
test('the age of the last report alone lets daemons deny what exists', () => {
  const outcomes = Array.from({ length: 12 }, (_, at) => play(at + 1, 'last report'));
  assert.ok(outcomes.some(({ wrongDenials }) => wrongDenials > 0));
});

test('a daemon that can reach the store is fresh within 300 ms of its return', () => {
  const step = nextFreshnessStep({
    provenMs: 20_000,
    sincePeerMs: Infinity,
    sinceStoreMs: 701,
    jitter: 1,
    applyMs: APPLY_MS,
  });
  assert.is(step, 'ask_store');
});

test('a fleet of 300 asks the store only once reports and peers have failed', () => {
  const quiet = { sincePeerMs: 301, sinceStoreMs: 701, jitter: 0, applyMs: APPLY_MS };
  assert.is(nextFreshnessStep({ ...quiet, provenMs: 2_100 }), 'none');
  assert.is(nextFreshnessStep({ ...quiet, provenMs: 2_400 }), 'ask_peer');
  assert.is(nextFreshnessStep({ ...quiet, provenMs: 2_600 }), 'ask_store');
  assert.is(nextFreshnessStep({ ...quiet, provenMs: 3_200, jitter: 1 }), 'ask_peer');
});

test('the watchers renew the proof one after the other, before the others ask', () => {
  const quiet = { sincePeerMs: 301, sinceStoreMs: 701, jitter: 0, applyMs: APPLY_MS };
  const first = { ...quiet, provenMs: 1_300, watcherPlace: 0 };
  assert.is(nextFreshnessStep(first), 'ask_store');
  assert.is(nextFreshnessStep({ ...first, watcherPlace: 0.5 }), 'none');
  assert.is(nextFreshnessStep({ ...first, watcherPlace: undefined }), 'none');
  assert.is(nextFreshnessStep({ ...first, watcherPlace: 0.9, provenMs: 2_400 }), 'ask_store');
});

test.run();
