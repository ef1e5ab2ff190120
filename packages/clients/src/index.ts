/** JSON over HTTP, and thin clients of the MySQL deployment: store, instance list, control of targets. */
export * from './groupControl';
export * from './httpJson';
export * from './instanceList';
export * from './store';
