import { runCli } from './cli';

void runCli(process.argv.slice(2));
