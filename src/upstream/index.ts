/** Upstreams: model engines and plain services, and their HTTP clients. */
export * from './httpworkerreportclient.js';
export * from './httpmodelengine.js';
export * from './workerreportclient.js';
export * from './httpplainservice.js';
export * from './httporderclient.js';
export * from './modelcall.js';
export * from './modelengine.js';
export * from './orderclient.js';
export * from './plainservice.js';
