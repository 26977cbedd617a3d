/** Plan aggregate: how upstreams and workspaces leave. */
export * from './document.js';
export * from './knownplans.js';
export * from './messages.js';
export * from './state.js';
export * from './steps.js';
