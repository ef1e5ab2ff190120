import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { describeExample, runEmbeddedCore } from '../../../examples/embeddedCore';

test('the example of the embedding page prints the output that the page shows', () => {
  assert.is(
    describeExample(runEmbeddedCore()),
    'with one copy: held back\nwith two copies: ok at 1:1\nread by t2, which has the write',
  );
});

test.run();
