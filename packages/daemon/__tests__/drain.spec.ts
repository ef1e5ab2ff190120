import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createManualClock } from '@rosedeck/shared';
import { drainDaemon } from '../src/drain';
import type { DrainOptions } from '../src/drain';

interface FakeDaemon {
  readonly ports: DrainOptions;
  readonly steps: string[];
}

/** A daemon with `callers` silent callers, and one that ends its transaction at `endsAt`. */
function createFakeDaemon(callers: number, endsAt: number, limitMs = 5_000): FakeDaemon {
  const clock = createManualClock(1_000);
  const steps: string[] = [];
  let silent = callers;
  return {
    steps,
    ports: {
      clock,
      limitMs,
      sleep: (ms) => {
        clock.advance(ms);
        return Promise.resolve();
      },
      announce: () => steps.push('announce'),
      drainCallers: () => steps.push('drain callers'),
      closeIdleCallers: () => {
        if (silent > 0) steps.push('close idle');
        silent = 0;
      },
      openWork: () => silent + (clock.now() < 1_000 + endsAt ? 1 : 0),
      lastRequestAt: () => 900,
    },
  };
}

test('peers are told first, silent callers go, and open work is waited for', async () => {
  const { ports, steps } = createFakeDaemon(3, 2_000);
  const { cut, tookMs } = await drainDaemon(ports);
  assert.equal(steps, ['announce', 'drain callers', 'close idle']);
  assert.is(cut, 0);
  assert.ok(tookMs >= 2_000 && tookMs < 3_000);
});

test('requests of peers that still come in keep the daemon up', async () => {
  const { ports } = createFakeDaemon(0, 0);
  const { clock } = ports;
  const busy = { ...ports, lastRequestAt: () => Math.min(clock.now(), 2_500) };
  const { cut, tookMs } = await drainDaemon(busy);
  assert.is(cut, 0);
  assert.ok(tookMs >= 1_500);
});

test('the limit ends a drain and tells what was cut', async () => {
  const { ports } = createFakeDaemon(0, Infinity, 1_000);
  const { cut, tookMs } = await drainDaemon(ports);
  assert.is(cut, 1);
  assert.ok(tookMs >= 1_000);
});

test.run();
