import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { peerUrl, readPeerIdentity } from '../src/wire';

test('the id of a daemon is read from the URL as it was given, whatever it holds', () => {
  const piece = fc.oneof(
    fc.constantFrom(' ', '  ', '+', '&', '=', '%', '%26', '#', '?', '/', '\r\n', '\0', '-'),
    fc.string({ unit: 'grapheme', maxLength: 6 }),
  );
  const id = fc.array(piece, { maxLength: 10 }).map((pieces) => pieces.join(''));
  fc.assert(
    fc.property(id, fc.boolean(), (self, isSecure) => {
      const url = new URL(peerUrl('10.0.0.1', 4_000, self, isSecure));
      const identity = readPeerIdentity(`${url.pathname}${url.search}`);
      assert.is(identity?.id, self);
      assert.match(identity?.incarnation ?? '', /^[0-9a-f]{16}$/);
    }),
    { seed: 45, numRuns: 300 },
  );
});

test.run();
