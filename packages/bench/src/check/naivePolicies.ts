import { DEFAULT_POLICIES } from '@rosedeck/core';
import type { Policies } from '@rosedeck/core';

const naive = (changed: Partial<Policies>): Policies => ({ ...DEFAULT_POLICIES, ...changed });

/** Policies that each break one guarantee, by name; they show that the history check detects it. */
export const NAIVE_POLICIES: Readonly<Record<string, Policies | undefined>> = {
  'naive-no-majority': naive({ isConfirmed: () => true }),
  'naive-any-term': naive({
    holdsWrite: (report, written) => report.received.index >= written.index,
  }),
  'naive-no-fence': naive({ isFenced: (grants) => grants >= 1 }),
  'naive-first-candidate': naive({ chooseCandidate: (grants) => [...grants.keys()][0] }),
  'naive-positions': naive({ ignoresPositions: true }),
  'naive-no-arrival-sample': naive({ requiresArrivalSample: false }),
  'naive-lone-sample': naive({ isSampleConfirmed: (inTerm) => inTerm >= 1 }),
  'naive-receipt-time': naive({ reportValidAt: (_sentAt, receivedAt) => receivedAt }),
  'naive-repeat-all': naive({ mayRunTwice: () => true }),
  'naive-keep-connection': naive({ closesAbandonedConnections: false }),
  'naive-leaving': naive({ avoidsLeaving: false }),
  'naive-no-pause': naive({ resetsAfterPause: false }),
};
