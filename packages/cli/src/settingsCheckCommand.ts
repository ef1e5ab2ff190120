import {
  checkTree,
  formatIssues,
  isTreeFile,
  readDaemonSettings,
  readToml,
} from '@rosedeck/daemon';
import type { SettingsIssue } from '@rosedeck/daemon';
import { Command, Option } from 'clipanion';
import { EXIT_CODES } from './exitCodes';

/** Checks a settings file without starting a daemon. */
export class SettingsCheckCommand extends Command {
  static override paths = [['settings', 'check']];
  static override usage = Command.Usage({
    description: "Check a daemon's settings file or a tree of settings.",
    details: 'A file with a table customers, groups or levels is checked as a tree.',
    examples: [
      ['Check a daemon', '$0 settings check daemon.toml'],
      ['Check a tree', '$0 settings check tree.toml --json'],
    ],
  });

  json = Option.Boolean('--json', false, { description: 'print the result as JSON' });
  file = Option.String({ required: true });

  execute(): Promise<number> {
    // The issues under the name of their field in the JSON output.
    const faults = this.findIssues();
    if (this.json) this.context.stdout.write(`${JSON.stringify({ file: this.file, faults })}\n`);
    else if (faults.length === 0) this.context.stdout.write(`${this.file}: ok\n`);
    else this.context.stderr.write(`${formatIssues(faults)}\n`);
    return Promise.resolve(faults.length === 0 ? EXIT_CODES.ok : EXIT_CODES.refused);
  }

  private findIssues(): readonly SettingsIssue[] {
    const content = readToml(this.file);
    if (content.isErr()) return content.error;
    if (isTreeFile(content.value)) return checkTree(this.file, content.value).issues;
    const cfg = readDaemonSettings(this.file);
    return cfg.isErr() ? cfg.error : [];
  }
}
