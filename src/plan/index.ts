/** Plan aggregate: takes upstreams out of service and closes workspaces. */
export * from './document.js';
export * from './knownplans.js';
export * from './messages.js';
export * from './state.js';
export * from './steps.js';
