/** The platform: object API and instance list, and their HTTP clients. */
export * from './httpinstancelist.js';
export * from './httpobjectstore.js';
export * from './instancelist.js';
export * from './objectstore.js';
export * from './update.js';
//# sourceMappingURL=index.js.map