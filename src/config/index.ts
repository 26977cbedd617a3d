/** Configuration aggregate: documents, revisions and what is in force. */
export * from './configuration.js';
export * from './crosscheck.js';
export * from './difference.js';
export * from './documents.js';
export * from './entries.js';
export * from './revision.js';
export * from './servicefile.js';
export * from './views.js';
