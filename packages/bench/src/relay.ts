import { openTargetConnection, startMysqlServer } from '@rosedeck/mysql';
import type { ServerConnection, TargetAddress, TargetConnection } from '@rosedeck/mysql';

/** Options of the relay, passed as JSON on its command line. */
export interface RelayOptions {
  readonly port: number;
  readonly password: string;
  /** Targets that SELECT statements are distributed over. */
  readonly reads: readonly TargetAddress[];
  /** Target that INSERT statements go to. */
  readonly writes: TargetAddress;
  readonly connectionsPerTarget: number;
}

type Job = (connection: TargetConnection) => Promise<void>;

interface Pool {
  run: (job: Job) => void;
}

const CONNECT_TIMEOUT_MS = 5_000;

/** Relays statements to targets over pooled connections without any guarantee; the bench compares the proxy with it. */
async function startRelay(options: RelayOptions): Promise<void> {
  const reads = await createPool(options.reads, options.connectionsPerTarget);
  const writes = await createPool([options.writes], options.connectionsPerTarget);
  await startMysqlServer('127.0.0.1', options.port, {
    findPassword: () => options.password,
    onOpen: () => undefined,
    onClose: () => undefined,
    onCommand: (caller, command) => {
      const sql = command.type === 'query' ? command.sql : '';
      if (!/^\s*(SELECT|INSERT)/i.test(sql)) {
        caller.sendOk({ affectedRows: 0, insertId: 0, inTransaction: false });
        return;
      }
      const pool = /^\s*SELECT/i.test(sql) ? reads : writes;
      pool.run((connection) => relayStatement(connection, caller, sql));
    },
  });
  process.stdout.write('ready\n');
}

async function relayStatement(
  connection: TargetConnection,
  caller: ServerConnection,
  sql: string,
): Promise<void> {
  const result = await connection.execute({ sql });
  if (result.kind === 'rows') caller.sendRows(result.columns, result.rows);
  else if (result.kind === 'ok') caller.sendOk({ ...result, inTransaction: false });
  else caller.sendError(1105, 'HY000', result.message);
}

async function createPool(addresses: readonly TargetAddress[], perTarget: number): Promise<Pool> {
  const opened = await Promise.all(
    addresses.flatMap((address) =>
      Array.from({ length: perTarget }, () =>
        openTargetConnection(address, CONNECT_TIMEOUT_MS, () => undefined),
      ),
    ),
  );
  const idle = [...opened];
  const waiting: Job[] = [];
  const runJob = async (connection: TargetConnection, job: Job): Promise<void> => {
    await job(connection);
    const next = waiting.shift();
    if (next) void runJob(connection, next);
    else idle.push(connection);
  };
  return {
    run: (job) => {
      const connection = idle.shift();
      if (connection) void runJob(connection, job);
      else waiting.push(job);
    },
  };
}

await startRelay(JSON.parse(process.argv[2] ?? '{}') as RelayOptions);
