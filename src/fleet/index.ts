/** Fleet aggregate: instances, backups and handover. */
export * from './copies.js';
export * from './exposure.js';
export * from './holder.js';
export * from './messages.js';
export * from './placement.js';
export * from './recovery.js';
