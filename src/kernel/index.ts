/** Shared kernel: results, failures, identities, time and tasks. */
export * from './clock.js';
export * from './failure.js';
export * from './hash.js';
export * from './identity.js';
export * from './name.js';
export * from './nearest.js';
export * from './problem.js';
export * from './procedure.js';
export * from './result.js';
export * from './schemaissue.js';
export * from './stamp.js';
export * from './steadyclock.js';
export * from './systemclock.js';
export * from './task.js';
export * from './units.js';
export * from './yamlsource.js';
export * from './yamltext.js';
