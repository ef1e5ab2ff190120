/** The coordination parts of rosedeck: tables, and systems that decide over them without input or output. */
export * from './commands';
export * from './core';
export * from './deadlines';
export * from './events';
export * from './messages';
export * from './notes';
export * from './outcomeRules';
export * from './outcomes';
export * from './ownership';
export * from './policies';
export * from './scheduler';
export type { CallerStatement, SessionRow } from './sessionState';
export * from './settings';
export * from './tables';
export type { World } from './world';
