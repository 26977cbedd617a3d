/** Fleet aggregate: instances, backups and handover. */
export * from './messages.js';
//# sourceMappingURL=index.js.map