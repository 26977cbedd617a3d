/** Ingress: callers' connections, and the queue of requests before they are served. */
export { afterPoll, freshPoll, isFresh } from './afterpoll.js';
export { BodyGate } from './bodygate.js';
export { BodyRoom } from './bodyroom.js';
export { CallerConnection } from './callerconnection.js';
export { CallerConnections } from './callerconnections.js';
export { connectionLimit } from './connectionlimit.js';
export { askForBody, holdContinue } from './heldcontinue.js';
export {
  closesConnections,
  IN_ROTATION,
  isBetterElsewhere,
  isBusy,
  needsReports,
  nextRotation,
  roomElsewhere,
} from './overflow.js';
export { ReadAhead } from './readahead.js';
export { RequestQueue } from './requestqueue.js';
export { SocketHold } from './sockethold.js';
export type { Arrival } from './callerconnection.js';
export type { DaemonLoad, RoomElsewhere, Rotation, WaitReport } from './overflow.js';
export type { Defer, QueueOutcome } from './requestqueue.js';
export { closeListener } from './listenerclose.js';
export type { ListenerClosing } from './listenerclose.js';
