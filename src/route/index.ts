/** Route aggregate: choice of upstream, limits, retries and priorities. */
export * from './choice.js';
export * from './leastopen.js';
