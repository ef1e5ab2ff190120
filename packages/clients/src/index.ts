/** JSON over HTTP, and clients of the MySQL deployment's services: store, instance list, target control. */
export * from './groupControl';
export * from './httpJson';
export * from './instanceList';
export * from './store';
