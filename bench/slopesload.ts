/** Marginal costs measured on daemons: of a request, a token, a peer link and a revision. */
import { setTimeout as delay } from 'node:timers/promises';

import { API_KEY } from '../testbed/documents.js';
import { callModel } from '../testbed/caller.js';
import { Fleet } from '../testbed/fleet.js';
import { readProcess } from '../testbed/procfs.js';
import { slopeFigures } from './slope.js';

import type { Figure } from './figure.js';

const UNITS = 2_000_000_000;
const REQUEST_SIZES = [200, 400, 800] as const;
const TOKEN_SIZES = [50, 200, 800] as const;
const STREAMS = 50;
const CONCURRENT_CALLERS = 25;
const FLEET_SIZES = [2, 4, 8] as const;
const REVISION_SIZES = [10, 20, 40] as const;
const IDLE_DURATION_MS = 15_000;
const SETTLE_DELAY_MS = 3_000;

/** Cost of some work in the daemons and the store. */
interface Cost {
  /** Processor time of the serving daemon, in microseconds. */
  readonly cpuMicros: number;
  /** Total processor time of the other daemons, replicas included, in microseconds. */
  readonly otherMicros: number;
  /** Bytes read and written by the serving daemon. */
  readonly ioBytes: number;
  readonly writes: number;
  /** Reads and watches at the store. */
  readonly reads: number;
}

async function costOf(fleet: Fleet, work: () => Promise<void>): Promise<Cost> {
  const pids = fleet.daemons.map(({ child }) => child.pid);
  const before = await Promise.all(pids.map(readProcess));
  const storeBefore = fleet.store.counts;
  await work();
  const after = await Promise.all(pids.map(readProcess));
  const store = fleet.store.counts;
  const micros = after.map(
    (now, index) => (now.cpuSeconds - (before[index]?.cpuSeconds ?? 0)) * 1e6,
  );
  const [serving = 0, ...others] = micros;
  return {
    cpuMicros: serving,
    otherMicros: others.reduce((sum, value) => sum + value, 0),
    ioBytes: (after[0]?.ioBytes ?? 0) - (before[0]?.ioBytes ?? 0),
    writes: store.writes - storeBefore.writes,
    reads: store.reads + store.watches - storeBefore.reads - storeBefore.watches,
  };
}

async function sendRequests(fleet: Fleet, count: number, tokens: number): Promise<void> {
  const { url } = fleet.daemon(0);
  let left = count;
  const caller = async (): Promise<void> => {
    while (left > 0) {
      left -= 1;
      // A caller sends its requests sequentially.
      // eslint-disable-next-line no-await-in-loop
      const answer = await callModel({
        url,
        apiKey: API_KEY,
        model: 'drafts',
        prompt: `question ${left}`,
        maxTokens: tokens,
      });
      if (!answer.isComplete) throw new Error(`refused during the measurement: ${answer.text}`);
    }
  };
  await Promise.all(Array.from({ length: CONCURRENT_CALLERS }, caller));
}

/** Measures a cost at each size, sequentially. */
async function measureSeries(
  sizes: readonly number[],
  measure: (size: number) => Promise<Cost>,
): Promise<readonly { readonly size: number; readonly cost: Cost }[]> {
  const points = [];
  for (const size of sizes) {
    // eslint-disable-next-line no-await-in-loop
    points.push({ size, cost: await measure(size) });
  }
  return points;
}

type Series = Awaited<ReturnType<typeof measureSeries>>;

function figuresOf(
  name: string,
  points: Series,
  parts: readonly (readonly [string, string, (cost: Cost) => number])[],
): readonly Figure[] {
  return parts.flatMap(([part, unit, pick]) =>
    slopeFigures(
      `${name}.${part}`,
      unit,
      points.map(({ size, cost }) => ({ size, cost: pick(cost) })),
    ),
  );
}

const CPU = ['processor', 'us', (cost: Cost): number => cost.cpuMicros] as const;
const OTHER = ['processor-of-the-others', 'us', (cost: Cost): number => cost.otherMicros] as const;
const TRAFFIC = ['traffic', 'bytes', (cost: Cost): number => cost.ioBytes] as const;
const WRITES = ['store-writes', 'calls', (cost: Cost): number => cost.writes] as const;
const READS = ['store-reads', 'calls', (cost: Cost): number => cost.reads] as const;

async function publishMany(fleet: Fleet, count: number): Promise<void> {
  for (let index = 0; index < count; index += 1) {
    const { documents } = fleet;
    const [route, ...routes] = documents.routes;
    if (!route) throw new Error('the test documents have changed');
    const changed = { ...route, queueMs: 2_000 + Math.floor(Math.random() * 1e6) };
    // Each publication is based on the revision before it.
    // eslint-disable-next-line no-await-in-loop
    await fleet.publish({ ...documents, routes: [changed, ...routes] });
  }
}

/**
 * Measures the cost of requests, tokens and revisions in a fleet of three daemons.
 * @param say - prints progress
 * @returns measurements and slopes
 */
export async function loadSlopes(say: (text: string) => void): Promise<readonly Figure[]> {
  const fleet = await Fleet.start({ daemons: 3, units: UNITS, firstTokenMs: 5, tokenMs: 1 });
  try {
    await sendRequests(fleet, REQUEST_SIZES[0], 2);
    say('requests');
    const requests = await measureSeries(REQUEST_SIZES, (size) =>
      costOf(fleet, () => sendRequests(fleet, size, 1)),
    );
    say('tokens');
    const tokens = await measureSeries(TOKEN_SIZES, (size) =>
      costOf(fleet, () => sendRequests(fleet, STREAMS, size)),
    );
    say('revisions');
    const revisions = await measureSeries(REVISION_SIZES, (size) =>
      costOf(fleet, () => publishMany(fleet, size)),
    );
    const perToken = tokens.map(({ size, cost }) => ({ size: size * STREAMS, cost }));
    return [
      ...figuresOf('request', requests, [CPU, OTHER, TRAFFIC, WRITES, READS]),
      ...figuresOf('token', perToken, [CPU, TRAFFIC]),
      ...figuresOf('revision', revisions, [CPU, OTHER, TRAFFIC, WRITES, READS]),
    ];
  } finally {
    await fleet.stop();
  }
}

async function idleCost(daemons: number): Promise<Cost & { readonly rss: number }> {
  const fleet = await Fleet.start({ daemons, units: UNITS });
  try {
    await delay(SETTLE_DELAY_MS);
    const cost = await costOf(fleet, () => delay(IDLE_DURATION_MS));
    const { rssBytes } = await readProcess(fleet.daemon(0).child.pid);
    return { ...cost, rss: rssBytes };
  } finally {
    await fleet.stop();
  }
}

/**
 * Measures the cost of a further idle daemon for another daemon and for the store.
 * @param say - prints progress
 * @returns measurements and slopes, per second
 */
export async function peerSlopes(say: (text: string) => void): Promise<readonly Figure[]> {
  say('idle fleets');
  const seconds = IDLE_DURATION_MS / 1_000;
  const points = await measureSeries(FLEET_SIZES, idleCost);
  return figuresOf('peer', points, [
    ['processor', 'us/s', (cost): number => cost.cpuMicros / seconds],
    ['traffic', 'bytes/s', (cost): number => cost.ioBytes / seconds],
    ['store-writes', 'calls/s', (cost): number => cost.writes / seconds],
    ['store-reads', 'calls/s', (cost): number => cost.reads / seconds],
  ]);
}
