import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { ownersOf, rankOwners } from '../src/index';
import { GROUP, SELF, createHarness, createStatement, failureOf } from './harness';
import type { Harness } from './harness';

function listPeers(h: Harness, ids: readonly string[]): void {
  const instances = ids.map((id) => ({
    id,
    failureDomain: id,
    host: '127.0.0.1',
    peerPort: 1,
    leaving: false,
  }));
  h.core.post({ type: 'list', instances, targets: [] });
  h.settle();
}

const PEERS = ['entry-1', 'entry-2', 'entry-3', 'entry-4'];

test('all daemons rank the owners of a group alike, the first ones in different failure domains', () => {
  const candidates = PEERS.map((id, index) => ({ id, failureDomain: `${index % 2}` }));
  const ranked = rankOwners(GROUP, candidates);
  assert.equal(rankOwners(GROUP, [...candidates].reverse()), ranked);
  const domains = ranked.map((id) => candidates.find((one) => one.id === id)?.failureDomain);
  assert.is.not(domains[0], domains[1]);
});

test('a suspected owner is skipped until its suspicion ends, without a further event', () => {
  const h = createHarness();
  listPeers(h, PEERS);
  const [first = ''] = ownersOf(h.core.world, GROUP);
  const suspected = first === SELF ? 'entry-2' : first;
  h.core.post({ type: 'peer_suspected', peer: suspected, forMs: 500 });
  const during = ownersOf(h.core.world, GROUP);
  assert.not.ok(during.includes(suspected));
  h.run(510);
  assert.equal(ownersOf(h.core.world, GROUP), [first]);
});

test('an instance that is delisted or answers again changes the owners at once', () => {
  const h = createHarness();
  listPeers(h, PEERS);
  const [first = ''] = ownersOf(h.core.world, GROUP);
  listPeers(
    h,
    PEERS.filter((id) => id !== first),
  );
  assert.is.not(ownersOf(h.core.world, GROUP)[0], first);
  listPeers(h, PEERS);
  h.core.post({ type: 'peer_suspected', peer: first, forMs: 5_000 });
  assert.is.not(ownersOf(h.core.world, GROUP)[0], first);
  h.core.post({ type: 'peer_up', peer: first });
  assert.is(ownersOf(h.core.world, GROUP)[0], first);
});

test('a daemon that is not the owner names it, and accepts a request forwarded often enough', () => {
  const h = createHarness();
  h.core.post({ type: 'drain' });
  listPeers(h, ['entry-2']);
  h.request({ id: 'w' });
  const [answer] = h.answersOf('w');
  assert.is(failureOf(answer)?.kind, 'not_owner');
  assert.is(answer?.kind === 'failure' && answer.owner, 'entry-2');
  h.request({ id: 'x', forwards: 2 });
  h.run(10);
  assert.is(h.sent('execute').length, 1);
});

test('a daemon that has not probed a group for long probes it before it refuses requests', () => {
  for (const op of ['write', 'read'] as const) {
    const h = createHarness();
    h.core.post({ type: 'drain' });
    listPeers(h, ['entry-2']);
    for (const id of ['t1', 't2', 't3']) h.dead.add(id);
    h.request({ id: 'lost', op, forwards: 2, deadlineMs: 300 });
    h.run(10_000);
    h.dead.clear();
    h.request({ id: 'x', op, forwards: 2 });
    h.run(50);
    assert.is(h.sent('execute').at(-1)?.request, 'x', op);
  }
});

test('an entry follows a named owner at most twice', () => {
  const h = createHarness();
  listPeers(h, PEERS);
  h.core.post({ type: 'session_opened', session: 's', customer: 'baharat', group: GROUP });
  h.core.post({ type: 'caller_statement', statement: createStatement({ id: 'w', session: 's' }) });
  h.settle();
  const failure = { kind: 'not_owner', detail: '' } as const;
  for (let index = 0; index < 4; index += 1) {
    const answer = { kind: 'failure', failure, owner: PEERS[index] } as const;
    h.core.post({ type: 'peer_answer', request: 'w', answer });
    h.settle();
  }
  assert.is(h.sent('send_peer').length, 3);
  assert.is(failureOf(h.sent('answer_caller')[0]?.answer)?.kind, 'not_owner');
});

test.run();
