/**
 * Demand: exponentially decayed use of a budget by a holder, from which the rate of spending is
 * derived.
 */
import { MINUTE_MS, SECOND_MS } from '../kernel/index.js';

/** Default time constant of the smoothing, in milliseconds. */
const DEFAULT_SMOOTHING_MS = 10 * MINUTE_MS;

/** Default minimum weight; see {@link DemandOptions.minWeight}. */
const DEFAULT_MIN_WEIGHT = 0.05;

/** Parameters of the smoothing. */
export interface DemandOptions {
  /** Time constant of the smoothing, in milliseconds. */
  readonly smoothingMs: number;
  /**
   * Lower bound of the averaging period of a demand that began recently, as a fraction of the time
   * constant. Without it, the first few requests would give a far too high rate.
   */
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
  /** Largest recent worst-case cost of a request, in units; it decays too. */
  readonly largest: number;
  /** Time up to which the figures are decayed, in milliseconds. */
  readonly at: number;
  /** Time at which the measurement began, in milliseconds. */
  readonly since: number;
  readonly options: DemandOptions;
}

/**
 * Creates the demand of a budget that has not been used.
 * @param now - current time in milliseconds
 * @param options - parameters of the smoothing
 * @returns a demand of zero
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
 * Adds a settled request.
 * @param demand - the demand before
 * @param used - units that it used
 * @param now - current time in milliseconds
 * @returns the demand with the request
 */
export function recordUse(demand: Demand, used: number, now: number): Demand {
  const next = decayed(demand, now);
  return { ...next, units: next.units + used, requests: next.requests + 1 };
}

/**
 * Subtracts units that were recorded as used but were not.
 * @param demand - the demand before
 * @param unused - units that were not used
 * @param now - current time in milliseconds
 * @returns the demand without them
 */
export function subtractUnused(demand: Demand, unused: number, now: number): Demand {
  const next = decayed(demand, now);
  return { ...next, units: Math.max(0, next.units - unused) };
}

/**
 * Records the worst-case cost of a request.
 * @param demand - the demand before
 * @param worstCase - worst-case cost, in units
 * @param now - current time in milliseconds
 * @returns the demand with the worst-case cost
 */
export function recordWorstCase(demand: Demand, worstCase: number, now: number): Demand {
  const next = decayed(demand, now);
  return { ...next, largest: Math.max(next.largest, worstCase) };
}

/** Demand in the form that sizing uses. */
export interface DemandRate {
  /** Units per second. */
  readonly rate: number;
  /** Mean cost of a request, in units. */
  readonly meanUnits: number;
  /** Largest recent worst-case cost of a request, in units. */
  readonly largest: number;
}

/**
 * Returns the demand at a given time.
 * @param demand - the demand
 * @param now - current time in milliseconds
 * @returns the rate in units per second and the cost of requests
 */
export function demandAt(demand: Demand, now: number): DemandRate {
  const { units, requests, largest, since, options } = decayed(demand, now);
  const { smoothingMs, minWeight } = options;
  const weight = Math.max(minWeight, 1 - Math.exp(-(now - since) / smoothingMs));
  const rate = (units / (weight * smoothingMs)) * SECOND_MS;
  return { rate, meanUnits: requests > 0 ? units / requests : 0, largest };
}
