/** Configuration aggregate: documents, revisions, publication and distribution to daemons. */
export * from './catchup.js';
export * from './configuration.js';
export * from './crosscheck.js';
export * from './manifestdelta.js';
export * from './documentdifference.js';
export * from './documents.js';
export * from './entries.js';
export * from './pieces.js';
export * from './publication.js';
export * from './revision.js';
export * from './servicefile.js';
export * from './propagation.js';
export * from './workspaceview.js';
