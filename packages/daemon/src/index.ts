/** The daemon: a core with adapters to callers, peers, targets, operators and the platform. */
export * from './daemon';
export { entryKey } from './configStore';
export { explainSettings } from './explain';
export type { ExplainedSetting } from './explain';
export * from './settingsIssues';
export type { AuditRecord } from './auditLog';
export * from './settings';
export type { DaemonStatus } from './status';
export * from './tree';
export * from './treeCheck';
export * from './treeSchema';
