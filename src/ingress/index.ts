/** What happens to callers' requests before they are served. */
export { CallerConnection } from './callerconnection.js';
export { CallerConnections } from './callerconnections.js';
export { Intake } from './intake.js';
export type { Arrival } from './callerconnection.js';
export type { Defer, TurnOutcome } from './intake.js';
