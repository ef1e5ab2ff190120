import net from 'node:net';
import mysql from 'mysql2/promise';
import type { Connection, ConnectionOptions } from 'mysql2/promise';
import { startMysqlServer } from '../src/index';
import type {
  MysqlServer,
  ServerCommand,
  ServerConnection,
  ServerLimits,
  ServerTls,
} from '../src/index';

/** A server whose commands a test handles, with its received commands and closed connections. */
export interface TestServer {
  readonly server: MysqlServer;
  readonly commands: ServerCommand[];
  readonly closed: ServerConnection[];
  connect: (options?: ConnectionOptions) => Promise<Connection>;
}

export const PASSWORD = 'secret';

/** Responds to any command with an OK packet. */
export function respondOk(connection: ServerConnection): void {
  connection.sendOk({ affectedRows: 0, insertId: 0, inTransaction: false });
}

const servers: MysqlServer[] = [];

/** Closes all servers that a test started; runs after failed tests too. */
export async function closeServers(): Promise<void> {
  await Promise.all(servers.splice(0).map((server) => server.close()));
}

/** Starts a server on a free port. */
export async function startTestServer(
  onCommand: (connection: ServerConnection, command: ServerCommand) => void = respondOk,
  limits: Partial<ServerLimits> = {},
  tls?: ServerTls,
): Promise<TestServer> {
  const commands: ServerCommand[] = [];
  const closed: ServerConnection[] = [];
  const server = await startMysqlServer(
    '127.0.0.1',
    0,
    {
      findPassword: (user) => (user === 'kerala' ? PASSWORD : undefined),
      checkAccess: (_user, database) =>
        database === 'forbidden'
          ? { code: 1049, sqlState: '42000', message: "Unknown database 'forbidden'" }
          : undefined,
      tls,
      onOpen: () => undefined,
      onClose: (connection) => closed.push(connection),
      onCommand: (connection, command) => {
        commands.push(command);
        onCommand(connection, command);
      },
    },
    limits,
  );
  servers.push(server);
  return {
    server,
    commands,
    closed,
    connect: (options = {}) =>
      mysql.createConnection({
        host: '127.0.0.1',
        port: server.port,
        user: 'kerala',
        password: PASSWORD,
        ...options,
      }),
  };
}

/** Sends raw bytes; resolves with all received bytes when the connection is closed. */
export function sendBytes(port: number, bytes: Uint8Array): Promise<Buffer> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    const socket = net.connect(port, '127.0.0.1', () => {
      socket.end(bytes);
    });
    socket.on('data', (chunk) => chunks.push(chunk));
    socket.on('error', () => undefined);
    socket.on('close', () => {
      resolve(Buffer.concat(chunks));
    });
  });
}
