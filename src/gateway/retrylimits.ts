/**
 * Splits the retry limits of the fleet among its daemons. Answers the load of a failing service in a large fleet: all
 * daemons retry at once, and their parts together must stay within the configured limits.
 */
import type { RetryBudgetOptions } from '../route/index.js';
import type { GatewaySettings } from './settings.js';

/**
 * Share of the configured retry limits of the fleet that is used. The rest is a margin, as daemons do not
 * know each other's retries.
 */
const RETRY_BUDGET_SHARE = 0.7;

/**
 * Smallest number of daemons among which the reserve is split: in a small fleet, a daemon that has just started may not
 * know the others yet.
 */
const MIN_PARTS = 8;

/** Smallest reserve of a daemon: a retry takes one from it. */
const MIN_RESERVE = 1;

/**
 * Computes the retry limits of one daemon.
 * @param retries - retry limits of the fleet
 * @param daemons - number of daemons in the fleet
 * @returns its part; the retries per request are not split, as each daemon counts its own requests
 */
export function retryLimits(
  { perRequest, reserve }: GatewaySettings['retries'],
  daemons: number,
): RetryBudgetOptions {
  const part = (reserve * RETRY_BUDGET_SHARE) / Math.max(MIN_PARTS, daemons);
  return { perRequest: perRequest * RETRY_BUDGET_SHARE, reserve: Math.max(MIN_RESERVE, part) };
}
