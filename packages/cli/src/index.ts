/** The command line of rosedeck. */
export { createCli, runCli } from './cli';
export { VERSION } from './version';
