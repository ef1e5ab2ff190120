/** The MySQL protocol on both sides: a server for callers and a client for targets. */
export type { OkContent } from './responsePackets';
export type { ServerCommand } from './commandReader';
export * from './charsets';
export * from './columns';
export * from './serverErrors';
export type { ServerTls } from './tlsUpgrade';
export * from './server';
export type { ServerConnection } from './serverConnection';
export * from './targetClient';
export * from './classify';
export * from './marks';
