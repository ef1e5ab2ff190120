import { writeFile } from 'node:fs/promises';
import { Builtins, Cli, Command, Option, UsageError } from 'clipanion';
import type { CoreSettings } from '@rosedeck/core';
import { FAILURE_MODES } from './faults';
import { SCENARIOS } from './scenarios';
import { SLOPES, measureSlopes } from './slopes/main';
import { PROFILE_NAMES, readProfile } from './topology';

const EXIT_VIOLATION = 1;

/** Runs one scenario. */
class ScenarioCommand extends Command {
  static override paths = Object.keys(SCENARIOS).map((name) => [name]);
  static override usage = Command.Usage({
    description: `Run a scenario: ${Object.keys(SCENARIOS).join(', ')}.`,
    details: 'Exits with 1 when a guarantee was violated.',
    examples: [['A frozen primary', 'npm run bench -- failover --by freeze --seed 3']],
  });

  profile = Option.String('--profile', 'authority', {
    description: `deployment: ${PROFILE_NAMES.join(' or ')}`,
  });

  seed = Option.String('--seed', '1', { description: 'seed of the traffic' });
  by = Option.String('--by', 'kill', {
    description: `how the primary fails: ${FAILURE_MODES.join(', ')}`,
  });
  json = Option.String('--json', { description: 'write the figures to this file' });
  tuning = Option.Array('--set', [], { description: 'a tunable of the core, as name=number' });

  async execute(): Promise<number> {
    const scenario = SCENARIOS[this.path[0] ?? ''];
    const failureMode = FAILURE_MODES.find((mode) => mode === this.by);
    if (!scenario || !failureMode)
      throw new UsageError(`--by must be one of ${FAILURE_MODES.join(', ')}`);
    const print = (text: string): void => {
      this.context.stdout.write(`${text}\n`);
    };
    print(`${this.path.join(' ')}, ${this.profile}, seed ${this.seed}`);
    const result = await scenario({
      profile: readProfile(this.profile),
      seed: Number(this.seed),
      failureMode,
      tuning: readTuning(this.tuning),
      print,
    });
    print(`\n${result.text}\n`);
    if (this.json !== undefined)
      await writeFile(this.json, JSON.stringify(result.figures, null, 2));
    return result.hasPassed ? 0 : EXIT_VIOLATION;
  }
}

/** Measures how the resource use of a daemon grows with the size of its deployment. */
class SlopesCommand extends Command {
  static override paths = [['slopes']];
  static override usage = Command.Usage({
    description: `Measure resource use of a daemon against the size of its deployment and load: ${Object.keys(SLOPES).join(', ')}.`,
    examples: [['Two slopes', 'npm run bench -- slopes peers sessions']],
  });

  names = Option.Rest();
  json = Option.String('--json', { description: 'write the figures to this file' });

  async execute(): Promise<void> {
    const slopes = await measureSlopes(this.names, (text) =>
      this.context.stdout.write(`${text}\n`),
    );
    if (this.json !== undefined) await writeFile(this.json, JSON.stringify(slopes, null, 2));
  }
}

function readTuning(assignments: readonly string[]): Partial<CoreSettings> {
  return Object.fromEntries(
    assignments.map((assignment) => {
      const [name = '', value] = assignment.split('=');
      return [name, Number(value)];
    }),
  );
}

const cli = new Cli({ binaryLabel: 'rosedeck bench', binaryName: 'npm run bench --' });
cli.register(Builtins.HelpCommand);
cli.register(ScenarioCommand);
cli.register(SlopesCommand);
await cli.runExit(process.argv.slice(2));
