import type { Millis } from '@rosedeck/shared';
import type { Cluster } from '../cluster';
import { injectFault } from '../cluster';
import { hasNoViolations, runExperiment } from '../experiment';
import type { Experiment, ExperimentResult } from '../experiment';
import { failTarget, findPrimary, healTarget } from '../faults';
import type { FailureMode } from '../faults';
import { formatResult } from '../report';
import type { Profile, Traffic } from '../topology';
import type { Scenario, ScenarioOptions, ScenarioResult } from './scenario';

const DURATION_MS = 15_000;
const LAG_MS = 300;
const FAIL_AT_MS = 5_000;
const HEAL_AT_MS = 10_000;

/** Runs the traffic of the profile without faults. */
export const steady: Scenario = (options) => runWithDefaults(options, {});

/** Replicas apply log entries up to 300 ms after they receive them. */
export const lag: Scenario = (options) =>
  runWithDefaults(options, {
    injectFaults: async (cluster) => {
      for (const target of cluster.targets) await injectFault(target, { randomLagMs: LAG_MS });
    },
  });

/** The primary of the first group fails; the fault ends later, unless it was a kill. */
export const failover: Scenario = (options) =>
  runWithDefaults(options, { injectFaults: (cluster) => failFirstGroup(cluster, options) });

/** Sends three times the writes that the first group's primary can run, most of them of lower classes. */
export const overload: Scenario = async (options) => {
  const profile = slowDown(options.profile);
  const [group = ''] = Object.keys(profile.groups);
  const capacity = (profile.targets.slots * 1_000) / profile.targets.statement_ms;
  const traffic = createOverloadTraffic(profile, group, capacity);
  const alone = await run({ ...options, profile }, { traffic: traffic.slice(0, 1) });
  const loaded = await run({ ...options, profile }, { traffic });
  return {
    text: `${capacity} writes per second are the capacity\n\nfirst class alone\n${formatResult(alone)}\n\nall classes\n${formatResult(loaded)}`,
    figures: { capacity, alone, loaded },
    hasPassed: hasNoViolations(alone.load.violations) && hasNoViolations(loaded.load.violations),
  };
};

async function runWithDefaults(
  options: ScenarioOptions,
  changes: Partial<Experiment>,
): Promise<ScenarioResult> {
  const result = await run(options, changes);
  return {
    text: formatResult(result),
    figures: result,
    hasPassed: hasNoViolations(result.load.violations),
  };
}

function run(options: ScenarioOptions, changes: Partial<Experiment>): Promise<ExperimentResult> {
  const { profile, seed, tuning } = options;
  return runExperiment({
    profile,
    seed,
    durationMs: DURATION_MS,
    traffic: profile.traffic,
    cluster: { tuning },
    ...changes,
  });
}

async function failFirstGroup(
  cluster: Cluster,
  options: { failureMode: FailureMode; print: (text: string) => void },
): Promise<void> {
  const [group = ''] = Object.keys(cluster.profile.groups);
  await sleep(FAIL_AT_MS);
  const primary = await findPrimary(cluster, group);
  if (!primary) throw new Error(`no primary found in ${group}`);
  options.print(`${options.failureMode}: ${primary.id}`);
  await failTarget(cluster, primary, options.failureMode);
  await sleep(HEAL_AT_MS - FAIL_AT_MS);
  await healTarget(primary, options.failureMode);
}

/** Slow enough that one machine can send more statements than the targets can run. */
const SLOW_STATEMENT_MS = 20;

function slowDown(profile: Profile): Profile {
  return { ...profile, targets: { ...profile.targets, statement_ms: SLOW_STATEMENT_MS } };
}

/** Total write rate as a multiple of the primary's capacity. */
const OVERLOAD_FACTOR = 3;
/** Write rate of the highest class as a share of the capacity. */
const FIRST_CLASS_SHARE = 0.4;
const OVERLOAD_DEADLINE_MS = 1_000;

function createOverloadTraffic(profile: Profile, group: string, capacity: number): Traffic[] {
  const [first = '', ...others] = profile.classes;
  const remainingRate = (OVERLOAD_FACTOR - FIRST_CLASS_SHARE) * capacity;
  const createStream = (cls: string, rate: number): Traffic => ({
    class: cls,
    group,
    kind: 'insert',
    rate_per_s: rate,
    sessions: Math.ceil((rate * OVERLOAD_DEADLINE_MS) / 1_000),
    deadline_ms: OVERLOAD_DEADLINE_MS,
  });
  return [
    createStream(first, FIRST_CLASS_SHARE * capacity),
    ...others.map((cls) => createStream(cls, remainingRate / others.length)),
  ];
}

function sleep(ms: Millis): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
