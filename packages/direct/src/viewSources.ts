/** A peer whose view of the store may be fetched. */
export interface ViewSource {
  /** The peer is in the same failure domain. */
  readonly isNear: boolean;
  /** The peer asks the store itself. */
  readonly isWatcher: boolean;
  /** What the peer has reported of late; absent: nothing newer than this daemon has. */
  readonly offers?: 'newer view' | 'younger proof';
  /** A recent fetch from the peer has failed. */
  readonly hasFailed: boolean;
}

/** The peers from which a view is fetched next, and whether their reports show that it helps. */
export interface ChosenSources<T> {
  readonly sources: readonly T[];
  readonly isDirected: boolean;
}

/**
 * Chooses the peers of which any one is asked for its view. Load pattern: a fleet is split while the
 * store turns some of it away; most peers cannot be reached then, and reports show which ones can.
 */
export function chooseViewSources<T extends ViewSource>(
  all: readonly T[],
  random: () => number,
): ChosenSources<T> {
  const working = all.filter(({ hasFailed }) => !hasFailed);
  const usable = working.length > 0 ? working : all;
  const newer = usable.filter(({ offers }) => offers === 'newer view');
  const offering = newer.length > 0 ? newer : usable.filter(({ offers }) => offers !== undefined);
  if (offering.length > 0) {
    const near = offering.filter(({ isNear }) => isNear);
    return { sources: near.length > 0 ? near : offering, isDirected: true };
  }
  const near = usable.filter(({ isNear }) => isNear);
  const pools = [near.filter(({ isWatcher }) => isWatcher), near, usable];
  const nonEmpty = pools.filter((pool) => pool.length > 0);
  // Every other question goes to any peer: the near watchers may be the ones that are cut off.
  const sources = nonEmpty[random() < 0.5 ? 0 : nonEmpty.length - 1] ?? [];
  return { sources, isDirected: false };
}
