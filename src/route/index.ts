/** Route aggregate: choice of upstream, limits, retries and priorities. */
export * from './affinity.js';
export * from './cacheindex.js';
export * from './choice.js';
export * from './digest.js';
export * from './fairqueue.js';
export * from './fairshare.js';
export * from './flow.js';
export * from './health.js';
export * from './hotprefixes.js';
export * from './leastopen.js';
export * from './pool.js';
export * from './randomoftwo.js';
export * from './retrybudget.js';
export * from './roundrobin.js';
export * from './scheduler.js';
export * from './worker.js';
export * from './workspacelimits.js';
