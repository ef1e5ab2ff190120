import { Bed, HAS_TROUBLE } from '../lib/bed';
import { Consumer } from '../lib/consumer';
import type { Answer } from '../lib/consumer';
import { sleep } from '../lib/wire';

/** Bounds of the site: GraceS, LossSlackMs and StableWindowMs. */
const GRACE_MS = 6_000;
const SLACK_MS = 200;
const STABLE_MS = 4_000;
const CONSUMERS_PER_DAEMON = 6;
const STATEMENT_LIMIT_MS = 3_000;

const bed = await Bed.start({
  daemons: 4,
  routes: [{ Name: 'sched-book', Host: 'sched', RouteType: 'primary' }],
});
/** Servers that have received a request, by its id. */
const arrivals = new Set<string>();
for (const server of bed.group.servers) server.onArrival = (id) => arrivals.add(id);

const cutRequests: { readonly daemon: string; readonly answer: Answer }[] = [];
let answered = 0;
const answers: Answer[] = [];
let over = false;
const isOver = (): boolean => over;

/** A consumer of one daemon: it sends the next statement once the last one is answered. */
async function consume(index: number, number: number): Promise<void> {
  const daemon = bed.daemons[index];
  if (!daemon) return;
  while (!isOver()) {
    // The platform sends nobody to a daemon that is not ready.
    const isReady = await daemon.isReady();
    const session = isReady ? await Consumer.open(daemon.front, 'sched') : 'not ready';
    if (typeof session === 'string') {
      await sleep(200);
      continue;
    }
    while (!session.isClosed && !isOver()) {
      const answer = await session.query(`READ k${number}`, STATEMENT_LIMIT_MS);
      answers.push(answer);
      if (answer.kind === 'none') cutRequests.push({ daemon: daemon.name, answer });
      else answered += 1;
      // The pause to the next statement.
      await sleep(6);
    }
    session.close();
  }
}

await sleep(2_000);
if (HAS_TROUBLE) {
  bed.platform.put('servers/i-7f3a91c2', {
    Service: bed.group.options.name,
    Address: '127.0.0.1:87841',
    Zone: 'aluva-hall',
    Version: 'v1',
    Slots: 3,
    State: 'ready',
    DbRole: 'replica',
    ColdRemainingMs: 0,
    Sequence: 1,
    born: Date.now(),
  });
  bed.note('another writer has written servers/i-7f3a91c2 with the Address 127.0.0.1:87841');
}
await sleep(STABLE_MS + 2_000);
const consumers = bed.daemons.flatMap((_, index) =>
  Array.from({ length: CONSUMERS_PER_DAEMON }, (__, at) => consume(index, index * 100 + at)),
);
await sleep(3_000);

/** SIGTERM to two of the four machines, one after the other: planned work. */
const broken: string[] = [];
for (const daemon of bed.daemons.slice(0, 2)) {
  const termAt = performance.now();
  const before = answered;
  cutRequests.length = 0;
  bed.note(`SIGTERM to ${daemon.name}`);
  const exit = daemon.terminate();
  const endedAfterMs = await Promise.race([exit, sleep(GRACE_MS).then(() => undefined)]);
  if (endedAfterMs === undefined) daemon.kill();
  bed.note(`${daemon.name} ended after ${endedAfterMs?.toFixed(0) ?? 'SIGKILL at GraceS'} ms`);
  await sleep(500);
  bed.note(`${answered - before} requests were answered meanwhile, by all daemons`);
  for (const { daemon: name, answer } of cutRequests.filter((one) => one.daemon === daemon.name)) {
    const sentMs = answer.sentAt - termAt;
    const passed = arrivals.has(answer.id);
    const late = answer.at - answer.sentAt > SLACK_MS;
    // Not counted: still at work in the last sixth of GraceS on a request of the first 3 s.
    const isExcused = sentMs <= 3_000 && answer.at - termAt >= (GRACE_MS * 5) / 6;
    const counts = (passed || late) && !isExcused && answer.detail === 'connection ended';
    bed.note(
      `${name}: ${answer.id} "${answer.text}" sent ${sentMs.toFixed(0)} ms after SIGTERM, ` +
        `${passed ? 'passed on to a server' : 'not passed on'}, ${answer.detail} after ` +
        `${(answer.at - answer.sentAt).toFixed(0)} ms${counts ? ': LOST' : ''}`,
    );
    if (counts) broken.push(answer.id);
  }
}
over = true;
await Promise.race([Promise.all(consumers), sleep(STATEMENT_LIMIT_MS)]);
for (const daemon of bed.daemons) {
  const faults = daemon
    .logText()
    .split('\n')
    .filter((line) => line.includes('"event":"fault"'));
  bed.note(`${daemon.name} logged ${faults.length} faults ${faults[0]?.slice(0, 260) ?? ''}`);
}
bed.noteAll(answers);
bed.note(`${answered} requests answered, ${broken.length} LOST`);
await bed.finish(answered === 0 ? 2 : broken.length > 0 ? 1 : 0);
