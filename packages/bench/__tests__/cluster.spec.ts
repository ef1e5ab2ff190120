import { once } from 'node:events';
import net from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { requestStandin, startCluster } from '../src/cluster';
import { findFreePorts } from '../src/processes';
import { createProfile } from './profiles';

const PROFILE = createProfile('cluster', 1);

/** Place of the first target's port from the end; the store and the list have started before. */
const FIRST_TARGET = 3;

/** A port that is in use while `body` runs. */
async function withTakenPort(body: (port: number) => Promise<void>): Promise<void> {
  const server = net.createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  try {
    await body((server.address() as net.AddressInfo).port);
  } finally {
    server.close();
  }
}

/** True when a process listens on a port. */
async function isInUse(port: number): Promise<boolean> {
  const socket = net.connect(port, '127.0.0.1');
  const result = await Promise.race([
    once(socket, 'connect').then(() => true),
    once(socket, 'error').then(() => false),
  ]).catch(() => false);
  socket.destroy();
  return result;
}

// The demo hung, and its children were left, when a port was taken before its process listened.
test('a deployment starts on other ports when one that was free is taken', () =>
  withTakenPort(async (taken) => {
    const plans: number[][] = [];
    const cluster = await startCluster(PROFILE, {
      findPorts: async (count) => {
        const ports = await findFreePorts(count);
        if (plans.length === 0) ports[ports.length - FIRST_TARGET] = taken;
        plans.push(ports);
        return ports;
      },
    });
    try {
      assert.is(plans.length, 2);
      assert.ok(await requestStandin(cluster.targets[0]?.controlPort ?? 0, '/stats'));
      const left = await Promise.all(
        (plans[0] ?? []).filter((port) => port !== taken).map(isInUse),
      );
      assert.not.ok(left.includes(true));
    } finally {
      await cluster.stop();
    }
  }));

test('a deployment that cannot start leaves no process', () =>
  withTakenPort(async (taken) => {
    const tried: number[] = [];
    const started = startCluster(PROFILE, {
      findPorts: async (count) => {
        const ports = await findFreePorts(count);
        ports[ports.length - FIRST_TARGET] = taken;
        tried.push(...ports.filter((port) => port !== taken));
        return ports;
      },
    });
    const reason = await started.then(
      () => 'started',
      (err: unknown) => String(err),
    );
    assert.match(reason, 'before it was ready');
    // A process that is left listens by then.
    await new Promise((resolve) => setTimeout(resolve, 1_500));
    const left = await Promise.all(tried.map(isInUse));
    assert.not.ok(left.includes(true));
  }));

test.run();
