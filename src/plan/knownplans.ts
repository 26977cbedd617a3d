/** Plans known to one daemon, and the requests that it may dispatch under them. */
import { refusesNewWork, isFinal } from './state.js';

import type { StoredPlan } from './state.js';

/**
 * Maximum age of the last confirmation, in milliseconds; above it, no requests are dispatched to an
 * upstream with a plan that is not final.
 */
export const MAX_CONFIRMATION_AGE_MS = 2_000;

/** Known plans by name. */
export type KnownPlans = ReadonlyMap<string, StoredPlan>;

/** Time of the last confirmation that the known plans are the newest, and the current time. */
export interface Confirmation {
  /** Time of the last confirmation in monotonic milliseconds; null before the first. */
  readonly confirmedAt: number | null;
  /** Current time in monotonic milliseconds. */
  readonly now: number;
  /** Current time in milliseconds since the epoch. */
  readonly wall: number;
}

/**
 * Adds plans that are newer than the known ones.
 * @param known - known plans
 * @param updates - plans read from the store or received from a peer
 * @returns the merged plans; a plan is never replaced by an older version
 */
export function mergePlans(known: KnownPlans, updates: readonly StoredPlan[]): KnownPlans {
  const next = new Map(known);
  updates.forEach((stored) => {
    const { name } = stored.plan.document;
    if (stored.version > (next.get(name)?.version ?? 0)) next.set(name, stored);
  });
  return next;
}

/**
 * Returns whether the confirmation is too old to rely on.
 * @param at - last confirmation and current time
 * @returns true if a plan may have been accepted since without this daemon knowing
 */
export function isConfirmationStale({ confirmedAt, now }: Confirmation): boolean {
  return confirmedAt === null || now - confirmedAt > MAX_CONFIRMATION_AGE_MS;
}

/**
 * Returns whether an upstream may receive new requests.
 * @param known - known plans
 * @param upstream - upstream name
 * @param confirmation - last confirmation and current time
 * @returns false if it is leaving, or may be leaving without this daemon knowing
 */
export function mayDispatchTo(
  known: KnownPlans,
  upstream: string,
  confirmation: Confirmation,
): boolean {
  for (const { plan } of known.values()) {
    const isNamed = plan.document.kind === 'upstream' && plan.document.upstream === upstream;
    if (isNamed && refusesNewWork(plan)) return false;
    if (isNamed && !isFinal(plan) && isConfirmationStale(confirmation)) return false;
  }
  return true;
}

/**
 * Returns whether a workspace is closed.
 * @param known - known plans
 * @param workspace - workspace name
 * @param confirmation - last confirmation and current time
 * @returns true if its plan was accepted, or if its closing time has come and the plan is neither paused
 *   nor abandoned
 */
export function isWorkspaceClosed(
  known: KnownPlans,
  workspace: string,
  confirmation: Confirmation,
): boolean {
  for (const { plan } of known.values()) {
    const { document } = plan;
    if (document.kind === 'workspace' && document.workspace === workspace) {
      if (refusesNewWork(plan)) return true;
      const isDue = document.from !== undefined && confirmation.wall >= Date.parse(document.from);
      if (!isFinal(plan) && !plan.paused && isDue) return true;
    }
  }
  return false;
}
