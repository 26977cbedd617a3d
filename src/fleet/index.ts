/**
 * Fleet aggregate: backups of charge lines, their placement, and the recovery of stopped holders.
 */
export * from './copies.js';
export * from './exposure.js';
export * from './holder.js';
export * from './messages.js';
export * from './placement.js';
export * from './recovery.js';
