/* eslint-disable no-await-in-loop -- a test script: its steps follow each other */
/** Configuration, workers and machines like those of a small site (SYSTEM.md, Sava Barge Moorings). */
import { LIMITS } from './scene.js';
import { Worker } from './worker.js';

export const HOST = 'quay.example';
export const KEY = 'key-harbour-1';
export const ZONES = ['a', 'b', 'c'];

/** Tokens in one event of a stream. */
export const EVENT_TOKENS = 6;

const DESK = {
  Name: 'desk',
  HealthCheckPath: '/healthz',
  MaxConnections: 100,
  Protocol: 'h1',
  Tls: false,
};

const POOL = {
  Name: 'pool',
  HealthCheckPath: '/healthz',
  MaxConnections: 360,
  Protocol: 'h1',
  Tls: false,
  Runtime: {
    Capacity: 64,
    KvCapacityTokens: 464_366,
    KvBytes: 163_840,
    LinkMbps: 1_100_000,
    Stride: EVENT_TOKENS,
    most: 12,
    PinMs: 4_000,
    HoldMs: 2_000,
    HandleTtlS: 5,
    ModelList: [{ Name: 'm' }],
  },
};

const LOOKUP = {
  Name: 'r-lookup',
  Host: HOST,
  PathPrefix: '/lookup/',
  Type: 'safe',
  TimeoutMs: 800,
  TargetLatencyMs: 100,
  Priority: 2,
  Service: 'desk',
  MaxAttempts: 2,
  Public: false,
};

const DRAFT = {
  Name: 'r-draft',
  Host: HOST,
  PathPrefix: '/draft/',
  Type: 'streaming',
  TimeoutMs: 15_000,
  TargetLatencyMs: 800,
  TargetGapMs: 400,
  Priority: 1,
  Service: 'pool',
  MaxAttempts: 1,
  Public: false,
  SessionAffinity: true,
  StreamResume: false,
};

/** What the operator writes. */
export function configuration(Version, { keys = [KEY], paid = 50_000_000 } = {}) {
  return {
    Version,
    Routes: [LOOKUP, DRAFT],
    Services: [DESK, POOL],
    Limits: LIMITS,
    Tenants: [{ Name: 'harbour', ApiKeys: keys, Priority: 1, Reserved: paid }],
  };
}

/** Starts workers of the booking desk. */
export async function startDesk(scene, count) {
  for (let n = 0; n < count; n += 1) {
    const worker = new Worker({
      id: `i-desk-${n}`,
      service: 'desk',
      store: scene.store,
      zone: ZONES[n % ZONES.length],
      workMs: 10,
    });
    scene.workers.push(worker);
    await worker.start({ capacity: 6 });
  }
  return scene.workers;
}

/** Starts model workers. */
export async function startPool(scene, count, options = {}) {
  for (let n = 0; n < count; n += 1) {
    const worker = new Worker({
      id: `i-pool-${n}`,
      service: 'pool',
      store: scene.store,
      zone: ZONES[n % ZONES.length],
      workMs: 60,
      events: 8,
      gapMs: 15,
      ...options,
    });
    scene.workers.push(worker);
    await worker.start({ capacity: 64 });
  }
  return scene.workers;
}

/** Starts machines and waits until all are ready. */
export async function startDaemons(scene, count) {
  for (let n = 0; n < count; n += 1) await scene.startDaemon(ZONES[n % ZONES.length]);
  await Promise.all(scene.daemons.map((daemon) => daemon.untilReady()));
  scene.note(`${count} machines are ready`);
  return scene.daemons;
}

/** A model request as a client sends it. */
export function draft(daemon, promptPrefix, [promptTokens, outputTokens] = [1_500, 48]) {
  return {
    port: daemon.callers,
    host: HOST,
    path: '/draft/x',
    method: 'POST',
    key: KEY,
    deadlineMs: 15_000,
    body: 'prompt',
    headers: {
      Model: 'm',
      'Token-Usage': `${promptTokens},${outputTokens}`,
      'Prompt-Prefix': promptPrefix,
    },
  };
}
