import { readSettings } from '@rosedeck/platform-adapter';
import { Command, Option } from 'clipanion';
import { EXIT_CODES } from './exitCodes';

/** Checks the settings file of a daemon that runs with the platform adapter. */
export class PlatformCheckCommand extends Command {
  static override paths = [['platform', 'check']];
  static override usage = Command.Usage({
    description: 'Check the settings file of a daemon that runs with the platform adapter.',
    examples: [['Check the file of this instance', '$0 platform check /etc/rosedeck/local.json']],
  });

  file = Option.String({ required: true });

  execute(): Promise<number> {
    const code = readSettings(this.file).match(
      (cfg) => {
        const { host, port } = cfg.callers;
        this.context.stdout.write(`${this.file}: ok, callers at ${host}:${port}\n`);
        return EXIT_CODES.ok;
      },
      (issues) => {
        for (const { key, found, allowed } of issues)
          this.context.stderr.write(`${this.file}: ${key}: found ${found}, allowed ${allowed}\n`);
        return EXIT_CODES.refused;
      },
    );
    return Promise.resolve(code);
  }
}
