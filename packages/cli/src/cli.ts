import { Builtins, Cli } from 'clipanion';
import {
  ConfigApplyCommand,
  ConfigExplainCommand,
  ConfigGetCommand,
  ConfigHistoryCommand,
} from './configCommands';
import { DaemonCommand } from './daemonCommand';
import { AuditCommand, DrainCommand, StatusCommand } from './operatorCommands';
import { PlatformCheckCommand } from './platformCommands';
import { SettingsCheckCommand } from './settingsCheckCommand';
import { VERSION } from './version';

const COMMANDS = [
  DaemonCommand,
  SettingsCheckCommand,
  PlatformCheckCommand,
  ConfigApplyCommand,
  ConfigGetCommand,
  ConfigExplainCommand,
  ConfigHistoryCommand,
  StatusCommand,
  DrainCommand,
  AuditCommand,
];

/** Creates the command line with all commands. */
export function createCli(): Cli {
  const cli = new Cli({
    binaryLabel: 'rosedeck, a database proxy with session consistency',
    binaryName: 'rosedeck',
    binaryVersion: VERSION,
  });
  cli.register(Builtins.HelpCommand);
  cli.register(Builtins.VersionCommand);
  for (const command of COMMANDS) cli.register(command);
  return cli;
}

/** Runs one command line and sets the exit code of the process. */
export async function runCli(args: readonly string[]): Promise<void> {
  const context = { stdin: process.stdin, stdout: process.stdout, stderr: process.stderr };
  process.exitCode = await createCli().run([...args], context);
}
