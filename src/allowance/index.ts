/** Allowance aggregate: what daemons may spend of prepaid workspaces, without a call a request. */
export * from './holders.js';
export * from './holding.js';
export * from './shard.js';
