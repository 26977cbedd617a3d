/** Demand: how fast a holder has lately spent from a budget, smoothed. */
import { MINUTE_MS, SECOND_MS } from '../kernel/index.js';

/** Time constant of the smoothing where none is given, in milliseconds. */
const DEFAULT_SMOOTHING_MS = 10 * MINUTE_MS;

/** Least share of the time constant that a young average is scaled from, where none is given. */
const DEFAULT_MIN_WEIGHT = 0.05;

/** How use is averaged. */
export interface DemandOptions {
  /** Time constant of the smoothing, in milliseconds. */
  readonly smoothingMs: number;
  /** Least share of the time constant that a young average is scaled from. */
  readonly minWeight: number;
}

const DEFAULT_OPTIONS: DemandOptions = {
  smoothingMs: DEFAULT_SMOOTHING_MS,
  minWeight: DEFAULT_MIN_WEIGHT,
};

/** Smoothed use of one budget by one holder. */
export interface Demand {
  /** Exponentially decayed units. */
  readonly units: number;
  /** Exponentially decayed number of requests. */
  readonly requests: number;
  /** Largest worst case of late, in units; it decays too. */
  readonly largest: number;
  /** When the figures were last brought up to date, in milliseconds. */
  readonly at: number;
  /** When the first request came, in milliseconds. */
  readonly since: number;
  readonly options: DemandOptions;
}

/**
 * Opens the demand of a budget that has not been used.
 * @param now - milliseconds
 * @param options - how use is averaged
 * @returns demand of zero
 */
export function emptyDemand(now: number, options = DEFAULT_OPTIONS): Demand {
  return { units: 0, requests: 0, largest: 0, at: now, since: now, options };
}

function decayed(demand: Demand, now: number): Demand {
  const decayFactor = Math.exp(-Math.max(0, now - demand.at) / demand.options.smoothingMs);
  return {
    ...demand,
    units: demand.units * decayFactor,
    requests: demand.requests * decayFactor,
    largest: demand.largest * decayFactor,
    at: Math.max(now, demand.at),
  };
}

/**
 * Counts a request that was settled.
 * @param demand - the demand before
 * @param used - units that it used
 * @param now - milliseconds
 * @returns the demand with the request
 */
export function recordUse(demand: Demand, used: number, now: number): Demand {
  const next = decayed(demand, now);
  return { ...next, units: next.units + used, requests: next.requests + 1 };
}

/**
 * Takes back use that was counted too high.
 * @param demand - the demand before
 * @param unused - units that were not used after all
 * @param now - milliseconds
 * @returns the demand without them
 */
export function subtractUnused(demand: Demand, unused: number, now: number): Demand {
  const next = decayed(demand, now);
  return { ...next, units: Math.max(0, next.units - unused) };
}

/**
 * Takes note of the worst case of a request.
 * @param demand - the demand before
 * @param worstCase - units
 * @param now - milliseconds
 * @returns the demand with the worst case
 */
export function recordWorstCase(demand: Demand, worstCase: number, now: number): Demand {
  const next = decayed(demand, now);
  return { ...next, largest: Math.max(next.largest, worstCase) };
}

/** Demand as sizing uses it. */
export interface DemandRate {
  /** Units a second. */
  readonly rate: number;
  /** Mean units of a request. */
  readonly meanUnits: number;
  /** Largest worst case of late, in units. */
  readonly largest: number;
}

/**
 * Gives the demand at a moment.
 * @param demand - the demand
 * @param now - milliseconds
 * @returns units a second and the size of requests
 */
export function demandAt(demand: Demand, now: number): DemandRate {
  const { units, requests, largest, since, options } = decayed(demand, now);
  const { smoothingMs, minWeight } = options;
  const weight = Math.max(minWeight, 1 - Math.exp(-(now - since) / smoothingMs));
  const rate = (units / (weight * smoothingMs)) * SECOND_MS;
  return { rate, meanUnits: requests > 0 ? units / requests : 0, largest };
}
