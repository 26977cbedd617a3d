/** Telemetry: event catalogue, recorder and timeline. */
export * from './events.js';
export * from './linelimit.js';
export * from './query.js';
export * from './recorder.js';
export * from './timeline.js';
