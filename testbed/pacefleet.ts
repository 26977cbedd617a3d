/** Upstreams of different pace that one daemon places requests on, in simulated time. */
import { placeRequest, UpstreamStats, UsualPace } from '../src/route/index.js';
import { seededRandom } from './seed.js';

import type { OpenRequest, PlacementOptions } from '../src/route/index.js';

const OPTIONS: PlacementOptions = {
  tokensPerMs: 60,
  rereadWeight: 2,
  loadMsPerRequest: 0.3,
  slotWaitMs: 1_500,
  remotePenaltyMs: 4,
  failurePenaltyMs: 400,
  usualSilenceMs: 600,
};

/** An upstream of the simulation. */
export interface SimulatedUpstream {
  /** Time that work takes there, as a factor of the usual time. */
  readonly factor: (now: number, open: number) => number;
  /** Pace that it states, in percent; undefined if it states none. */
  readonly states?: (now: number) => number;
  /** Time from which it is registered, in milliseconds; default 0. */
  readonly from?: number;
}

/** Options of a simulation. */
export interface PaceFleetConfig {
  readonly upstreams: readonly SimulatedUpstream[];
  readonly slots: number;
  /** Work of a request at the usual pace, in milliseconds; it varies by half. */
  readonly workMs: number;
  readonly requestsPerSecond: number;
  readonly forMs: number;
  /** Whether what was learned of the pace is used for the placement. */
  readonly usesPace: boolean;
  readonly seed: number;
}

/** A request that has ended. */
export interface ServedRequest {
  readonly at: number;
  readonly upstream: number;
  readonly tookMs: number;
}

interface Running {
  readonly request: OpenRequest;
  readonly upstream: number;
  leftMs: number;
}

/**
 * Runs a simulation.
 * @param cfg - options
 * @returns the requests that have ended, in the order of their ends
 */
export function runPaceFleet(cfg: PaceFleetConfig): readonly ServedRequest[] {
  const random = seededRandom(cfg.seed);
  const usual = new UsualPace();
  const stats = cfg.upstreams.map(() => new UpstreamStats(usual));
  const served: ServedRequest[] = [];
  let running: Running[] = [];
  const openAt = (index: number): number =>
    running.filter(({ upstream }) => upstream === index).length;

  const arrive = (now: number): void => {
    const candidates = cfg.upstreams.flatMap(({ from = 0 }, index) => {
      const known = stats[index];
      if (!known || from > now) return [];
      const load = known.estimatedOpen(now);
      const pace = cfg.usesPace ? known.pace.factor(load / cfg.slots, now) : 1;
      return {
        id: String(index),
        seed: index,
        isNear: true,
        capacity: cfg.slots,
        load,
        waiting: known.waiting(now),
        pendingTokens: 0,
        freeTokens: Number.POSITIVE_INFINITY,
        silentMs: known.silentMs(now),
        failedShare: 0,
        isEjected: false,
        warmupMs: 0,
        pace,
      };
    });
    const sharedParts: [] = [];
    const request = { sharedParts, sharedTokens: 0, promptTokens: 0, memoryTokens: 0 };
    const usualMs = cfg.usesPace ? usual.answerMs : 0;
    const placed = placeRequest(candidates, { ...request, usualMs }, OPTIONS, random());
    const upstream = Number(placed?.id);
    const known = stats[upstream];
    if (!placed || !known) return;
    const fill = known.estimatedOpen(now) / cfg.slots;
    const expected = { expectedMs: placed.workMs, fill };
    const open = { sentAt: now, uncachedTokens: 0, memoryTokens: 0, expected, isAnswered: false };
    const leftMs = cfg.workMs * (0.5 + random());
    running.push({ request: known.begin(open), upstream, leftMs });
  };

  const work = (now: number): void => {
    cfg.upstreams.forEach(({ factor, states }, index) => {
      const here = running.filter(({ upstream }) => upstream === index);
      const speed = 1 / factor(now, here.length);
      here.slice(0, cfg.slots).forEach((each) => {
        const state = each;
        state.leftMs -= speed;
        if (state.leftMs > 0) return;
        const known = stats[index];
        const tookMs = now - state.request.sentAt;
        const open = openAt(index) - 1;
        const load = {
          running: Math.min(open, cfg.slots),
          waiting: Math.max(0, open - cfg.slots),
          ...(states && { pacePercent: states(now) }),
        };
        known?.end(state.request);
        known?.recordResponse(state.request, load, now, true);
        served.push({ at: now, upstream: index, tookMs });
        running = running.filter((other) => other !== state);
      });
    });
  };

  for (let now = 0; now < cfg.forMs; now += 1) {
    if (random() < cfg.requestsPerSecond / 1_000) arrive(now);
    work(now);
  }
  return served;
}
