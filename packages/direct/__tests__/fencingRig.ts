import type { GroupLeadership } from '../src/index';
import { applyFleet, createReport, createRig, openSession } from './rig';
import type { Rig } from './rig';

/** The other daemons of the fleet of five. */
export const OTHERS = ['d2', 'd3', 'd4', 'd5'];

/** Reports of the other daemons, at least as often as a lease needs. */
export function hearOthers(rig: Rig, names: readonly string[], ms: number): void {
  for (let at = 0; at < ms; at += 100) {
    for (const name of names) rig.engine.applyPeer(createReport(name));
    rig.run(100);
  }
}

/** A daemon of a fleet of five whose platform does not fence old primaries. */
export function createUnfencedRig(): Rig {
  const rig = createRig({ promotionsFenced: false });
  applyFleet(rig, ['d1', ...OTHERS]);
  hearOthers(rig, OTHERS, 400);
  openSession(rig, 's', 'bookings');
  openSession(rig, 'r', 'loops');
  return rig;
}

/** A leadership of the rig's group. */
export function claim(term: number, target: string, token = 50): GroupLeadership {
  return { group: 'g', term, token, target };
}
