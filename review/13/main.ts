import { setTimeout as pause } from 'node:timers/promises';
import type { AddressInfo } from 'node:net';
import { openSession } from '../lib-3/client';
import { startSlowLink } from '../lib-3/daemons';
import { startDeployment } from '../lib-3/deployment';
import type { Deployment } from '../lib-3/deployment';
import { EXIT, hasTrouble, startRecord } from '../lib-3/record';

const record = startRecord();

/** Bandwidth of the daemon's own link towards consumers: 10 Mbit/s; the pages have 7 to 140. */
const LINK_BYTES_PER_S = (Number(process.env.MBIT ?? 10) * 1_000_000) / 8;

/** Rows of the answer, four of them almost as long as a message may be. */
const ROWS = Array.from({ length: 4 }, () => 'x'.repeat(1_045_000));

/** Time from SIGTERM to the read, on a session that was open before. */
const READ_AFTER_MS = Number(process.env.AFTER ?? 2_000);

const GRACE_MS = 6_000;

async function play({ daemons, host, service }: Deployment): Promise<number> {
  const [daemon] = daemons;
  if (!daemon) return EXIT.notRun;
  const link = await startSlowLink(daemon.host, daemon.callerPort, LINK_BYTES_PER_S);
  const { port } = link.address() as AddressInfo;
  const session = await openSession(host === daemon.host ? host : daemon.host, port, 'reports');
  if (!session) return EXIT.notRun;
  const first = await session.query('first', 'READ small');
  if (first.outcome !== 'done') return EXIT.notRun;
  // Other planned work is long over, and nothing else is disturbed.
  await pause(4_500);
  const signalledAt = performance.now();
  if (hasTrouble) {
    record.write(`platform: SIGTERM to ${daemon.name}`);
    daemon.signal('SIGTERM');
  }
  await pause(READ_AFTER_MS);
  record.write('consumer: READ list');
  const { outcome, rows, bytes, tookMs } = await session.query('list', 'READ list');
  const endedMs = Math.round(performance.now() - signalledAt);
  record.write(`consumer: list -> ${outcome}, ${rows} rows, ${bytes} bytes in ${tookMs} ms`);
  record.write(`server: list ran ${service.runs.get('list')?.length ?? 0} times`);
  record.write(`the answer ended ${endedMs} ms after SIGTERM, GraceS is ${GRACE_MS} ms`);
  record.write(`${daemon.name} ${daemon.isRunning() ? 'runs' : 'has ended'}`);
  session.close();
  link.close();
  const wasPassedOn = (service.runs.get('list')?.length ?? 0) > 0;
  if (outcome === 'closed' && wasPassedOn && endedMs < GRACE_MS + 1_000) return EXIT.broken;
  return outcome === 'done' ? EXIT.held : EXIT.notRun;
}

const deployment = await startDeployment({
  record,
  daemons: 4,
  routes: [
    {
      Host: 'reports',
      RouteType: 'bounded_staleness',
      MaxStalenessMs: 1_500,
      TimeoutMs: 5_000,
      TargetLatencyMs: 800,
      Priority: 2,
    },
  ],
  service: { syncReplicas: 0, rowsOf: (text) => (text === 'READ list' ? ROWS : ['row']) },
});
const code = deployment ? await play(deployment) : EXIT.notRun;
deployment?.close();
record.write(`exit code ${code}`);
process.exit(code);
