/** Stand-ins for the platform's services and for targets; for tests, the demo and the bench only. */
export * from './httpServer';
export * from './listServer';
export * from './replicationLog';
export * from './storeServer';
export * from './target';
export * from './targetServer';
export { applyChanges, createRowStore } from './rowStore';
export type { Row, RowChange, RowStore, Value } from './rowStore';
