/** Object store and instance list: abstract interfaces and HTTP clients. */
export * from './httpinstancelist.js';
export * from './httpobjectstore.js';
export * from './instancelist.js';
export * from './objectstore.js';
export * from './aftereachrise.js';
export * from './answerlimits.js';
export * from './era.js';
export * from './follower.js';
export * from './snapshotstore.js';
export * from './update.js';
