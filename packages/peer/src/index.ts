/** Protocol between daemons: a tRPC router over WebSockets that never sends a request twice. */
export * from './client';
export * from './peerCallError';
export * from './router';
export * from './server';
export type { PeerTls } from './wire';
