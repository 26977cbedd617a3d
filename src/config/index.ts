/** Configuration aggregate: documents, revisions and what is in force. */
export * from './configuration.js';
export * from './documents.js';
export * from './revision.js';
