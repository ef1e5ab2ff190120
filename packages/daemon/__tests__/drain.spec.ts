import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createManualClock } from '@rosedeck/shared';
import { drainDaemon } from '../src/drain';
import type { DrainOptions } from '../src/drain';

interface FakeDaemon {
  readonly options: DrainOptions;
  readonly steps: string[];
}

/** A daemon with `callers` idle callers and a transaction that ends `endsAfterMs` after the start. */
function createFakeDaemon(callers: number, endsAfterMs: number, limitMs = 5_000): FakeDaemon {
  const clock = createManualClock(1_000);
  const steps: string[] = [];
  let idle = callers;
  return {
    steps,
    options: {
      clock,
      limitMs,
      sleep: (ms) => {
        clock.advance(ms);
        return Promise.resolve();
      },
      announce: () => steps.push('announce'),
      drainCallers: () => steps.push('drain callers'),
      closeIdleCallers: () => {
        if (idle > 0) steps.push('close idle');
        idle = 0;
      },
      openWork: () => idle + (clock.now() < 1_000 + endsAfterMs ? 1 : 0),
      lastRequestAt: () => 900,
    },
  };
}

test('the drain is announced first, idle callers are closed, and open work is awaited', async () => {
  const { options, steps } = createFakeDaemon(3, 2_000);
  const { cut, tookMs } = await drainDaemon(options);
  assert.equal(steps, ['announce', 'drain callers', 'close idle']);
  assert.is(cut, 0);
  assert.ok(tookMs >= 2_000 && tookMs < 3_000);
});

test('a daemon that still receives requests from peers does not finish its drain', async () => {
  const { options } = createFakeDaemon(0, 0);
  const { clock } = options;
  const busy = { ...options, lastRequestAt: () => Math.min(clock.now(), 2_500) };
  const { cut, tookMs } = await drainDaemon(busy);
  assert.is(cut, 0);
  assert.ok(tookMs >= 1_500);
});

test('the limit ends a drain and reports the open work', async () => {
  const { options } = createFakeDaemon(0, Infinity, 1_000);
  const { cut, tookMs } = await drainDaemon(options);
  assert.is(cut, 1);
  assert.ok(tookMs >= 1_000);
});

test.run();
