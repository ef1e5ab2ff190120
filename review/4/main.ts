import { Bed, HAS_TROUBLE } from '../lib/bed';
import { Consumer, newId } from '../lib/consumer';
import { sleep } from '../lib/wire';

const bed = await Bed.start({
  daemons: 3,
  routes: [{ Name: 'sched-book', Host: 'sched', RouteType: 'primary' }],
});
await sleep(2_000);

/** Line end inside the data of a message; a message itself ends in CR LF. */
const BREAK = HAS_TROUBLE ? '\n' : ' ';
/** What consumers have sent, by id. */
const sent = new Map<string, string>();
for (const [index, daemon] of bed.daemons.entries()) {
  // A notice of two lines, and one whose second line looks like a message.
  const texts = [
    `WRITE notice${index} ward 3 closed${BREAK}use ward 4`,
    `WRITE notice${index} ward 5 closed${BREAK}QUERY ${newId()} WRITE other${index} overwritten`,
  ];
  for (const text of texts) {
    const session = await Consumer.open(daemon.front, 'sched');
    if (typeof session === 'string') bed.note(`no session: ${session}`);
    else {
      const id = newId();
      sent.set(id, text);
      bed.noteAnswer(`consumer of ${daemon.name}`, await session.query(text, 3_000, id));
      await sleep(300);
      session.close();
    }
  }
}
await sleep(500);
bed.noteRuns();
let smuggled = 0;
let changed = 0;
for (const { id, text, server } of bed.group.runs) {
  const original = sent.get(id);
  if (original === text) continue;
  if (original === undefined) {
    smuggled += 1;
    bed.note(`UNASKED: ${server} ran ${id}, an id that no consumer has sent: ${text}`);
  } else {
    changed += 1;
    bed.note(`UNASKED: ${server} ran ${id} with the changed text ${JSON.stringify(text)}`);
  }
}
bed.note(`${changed} statements run with changed text, ${smuggled} smuggled ones run`);
const ran = bed.group.runs.length;
await bed.finish(ran === 0 ? 2 : changed + smuggled > 0 ? 1 : 0);
