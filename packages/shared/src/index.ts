/** Identifiers, log positions, clocks and error kinds that all packages use. */
export * from './addresses';
export * from './clock';
export * from './describeError';
export * from './errorKinds';
export * from './ids';
export * from './position';
