/** Clients of upstreams: abstract interfaces of model engines and plain services, and HTTP implementations. */
export * from './httpworkerreportclient.js';
export * from './httpmodelengine.js';
export * from './workerreportclient.js';
export * from './httpplainservice.js';
export * from './httporderclient.js';
export * from './modelcall.js';
export * from './modelengine.js';
export * from './orderclient.js';
export * from './plainservice.js';
