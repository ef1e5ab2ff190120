import { setTimeout as pause } from 'node:timers/promises';
import { openSession } from '../11/lib/client';
import { readinessOf } from '../11/lib/daemons';
import { startDeployment } from '../11/lib/deployment';
import type { Deployment } from '../11/lib/deployment';
import { EXIT, hasTrouble, startRecord } from '../11/lib/record';

const record = startRecord();

/** Time for which consumers send requests; a day of the bench has 34 s. */
const TRAFFIC_MS = 34_000;

const REQUEST_PAUSE_MS = 250;

const REQUESTS = [
  { database: 'orders', text: 'WRITE item data' },
  { database: 'orders', text: 'READ item' },
  { database: 'lists', text: 'READ item' },
] as const;

async function play({ daemons, service }: Deployment): Promise<number> {
  const endsAt = performance.now() + TRAFFIC_MS;
  const outcomes = new Map<string, number>();
  let next = 1;
  await Promise.all(
    daemons.map(async (daemon) => {
      while (performance.now() < endsAt)
        for (const { database, text } of REQUESTS) {
          const id = `q${next}`;
          next += 1;
          const session = await openSession(daemon.host, daemon.callerPort, database);
          const answer = await session?.query(id, text, 2_000);
          session?.close();
          const outcome = answer?.outcome ?? 'no session';
          const seen = `${database} ${text} -> ${outcome}`;
          const count = outcomes.get(seen) ?? 0;
          outcomes.set(seen, count + 1);
          record.write(`consumer: ${id} at ${daemon.name}, ${seen}`);
          await pause(REQUEST_PAUSE_MS);
        }
    }),
  );
  for (const daemon of daemons)
    record.write(`${daemon.name}: readiness ${await readinessOf(daemon)}`);
  for (const [seen, count] of outcomes) record.write(`consumer: ${seen}: ${count} times`);
  const served = [...outcomes].some(([seen]) => seen.endsWith('-> done'));
  record.write(`servers: ${service.runs.size} requests ran; all three servers were up`);
  return served ? EXIT.held : EXIT.broken;
}

const deployment = await startDeployment({
  record,
  daemons: 4,
  routes: [
    { Host: 'orders', RouteType: 'primary', TimeoutMs: 1_000, TargetLatencyMs: 200, Priority: 1 },
    {
      Host: 'lists',
      RouteType: 'bounded_staleness',
      MaxStalenessMs: 1_500,
      TimeoutMs: 3_000,
      TargetLatencyMs: 800,
      Priority: 2,
    },
  ],
  service: { syncReplicas: 0, isFenced: process.env.FENCED === '1', startsEmpty: hasTrouble },
});
const code = deployment ? await play(deployment) : EXIT.notRun;
deployment?.close();
record.write(`exit code ${code}`);
process.exit(code);
