import { openRoamingSessions, roam } from './roam';
import type { RoamPlan } from './roam';

const plan = JSON.parse(process.argv[2] ?? '{}') as RoamPlan;
const sessions = await openRoamingSessions(plan);
process.once('message', () => {
  void roam(plan, sessions).then((result) => process.send?.({ result }, () => process.exit(0)));
});
process.send?.({ ready: true });
