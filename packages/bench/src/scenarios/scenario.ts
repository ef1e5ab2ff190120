import type { CoreSettings } from '@rosedeck/core';
import type { FailureMode } from '../faults';
import type { Profile } from '../topology';

/** Options of a scenario, from the command line. */
export interface ScenarioOptions {
  readonly profile: Profile;
  readonly seed: number;
  readonly failureMode: FailureMode;
  readonly tuning: Partial<CoreSettings>;
  readonly print: (text: string) => void;
}

/** Result of a scenario. */
export interface ScenarioResult {
  /** Tables to print. */
  readonly text: string;
  /** Figures that `--json` writes out. */
  readonly figures: unknown;
  /** True when no guarantee was violated. */
  readonly hasPassed: boolean;
}

/** Starts a deployment, runs one kind of load or fault on it, and returns the figures. */
export type Scenario = (options: ScenarioOptions) => Promise<ScenarioResult>;
