import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { PeerCallError } from '../src/index';
import { closeAll, createClient, createRequest } from './testPeers';

/** Collects errors that would end the process while `body` runs. */
async function collectUncaught(body: () => Promise<void>): Promise<string[]> {
  const uncaught: string[] = [];
  const collect = (err: Error): void => {
    uncaught.push(err.message);
  };
  process.on('uncaughtException', collect);
  try {
    await body();
    await new Promise((resolve) => setTimeout(resolve, 20));
  } finally {
    process.off('uncaughtException', collect);
  }
  return uncaught;
}

async function failureOf(call: Promise<unknown>): Promise<unknown> {
  try {
    return await call;
  } catch (err) {
    return err;
  }
}

// The URL of such an address cannot be parsed, which ended the process.
test('calls to an address that is none fail like those to a peer that is gone', async () => {
  for (const change of [{ port: 87_841 }, { port: -1 }, { host: 'a b' }, { host: '' }]) {
    let lost = 0;
    const onLost = (): void => {
      lost += 1;
    };
    const client = createClient(1, { ...change, onLost });
    const uncaught = await collectUncaught(async () => {
      const poll = { from: 'entry-1', revision: 0, leaving: false };
      for (const call of [client.run(createRequest('r1')), client.run(createRequest('r2'))]) {
        const err = await failureOf(call);
        assert.instance(err, PeerCallError, JSON.stringify(change));
        assert.is((err as PeerCallError).sent, false, 'nothing has run');
      }
      assert.instance(await failureOf(client.askConfig(poll)), PeerCallError);
    });
    assert.equal(uncaught, [], JSON.stringify(change));
    assert.ok(lost > 0);
  }
});

test.after(closeAll);

test.run();
