import { Command, Option } from 'clipanion';
import { formatIssues, readDaemonSettings, startDaemon } from '@rosedeck/daemon';
import { EXIT_CODES } from './exitCodes';

/** Runs a daemon until a signal or an operator's drain request stops it. */
export class DaemonCommand extends Command {
  static override paths = [['daemon']];
  static override usage = Command.Usage({
    description: 'Run a daemon.',
    details:
      'Logs go to standard output, one JSON line per event. On SIGTERM or SIGINT the daemon drains: ' +
      'it finishes its work and exits after limits.drain_ms at the latest.',
    examples: [['Run with a settings file', '$0 daemon --settings daemon.toml']],
  });

  settings = Option.String('--settings', { required: true, description: 'TOML settings file' });

  async execute(): Promise<number> {
    const cfg = readDaemonSettings(this.settings);
    if (cfg.isErr()) {
      this.context.stderr.write(`${formatIssues(cfg.error)}\n`);
      return EXIT_CODES.refused;
    }
    const daemon = await startDaemon(cfg.value, {
      writeLog: (line) => this.context.stdout.write(line),
    });
    await Promise.race([waitForStopSignal(), daemon.drainRequested]);
    const { cut } = await daemon.drain();
    await daemon.close();
    return cut === 0 ? EXIT_CODES.ok : EXIT_CODES.drainIncomplete;
  }
}

function waitForStopSignal(): Promise<void> {
  return new Promise((resolve) => {
    // Not `once`: a repeated signal must not end a drain that is under way.
    process.on('SIGTERM', resolve);
    process.on('SIGINT', resolve);
  });
}
