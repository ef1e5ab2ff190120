/** Decisions of a daemon that pools the connections of targets and leases them to other daemons. */
export { createPool } from './createPool';
export type { PoolOptions } from './createPool';
export * from './leases';
export type * from './logEvents';
export type * from './pool';
export { DEFAULT_POOL_SETTINGS } from './settings';
export type { PoolSettings } from './settings';
