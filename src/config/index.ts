/** Configuration aggregate: documents, revisions and what is in force. */
export * from './configuration.js';
export * from './difference.js';
export * from './documents.js';
export * from './revision.js';
export * from './views.js';
