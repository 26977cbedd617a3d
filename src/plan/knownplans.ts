/** What one daemon knows of the plans, and what it may still dispatch by it. */
import { refusesNewWork, isFinal } from './state.js';

import type { StoredPlan } from './state.js';

/** Age of the last confirmation above which no work goes to what may be leaving, in milliseconds. */
export const MAX_CONFIRMATION_AGE_MS = 2_000;

/** Plans by name, as a daemon knows them. */
export type KnownPlans = ReadonlyMap<string, StoredPlan>;

/** When the known plans were last confirmed, and what time it is now. */
export interface Confirmation {
  /** Monotonic milliseconds; null before the first confirmation. */
  readonly confirmedAt: number | null;
  /** Monotonic milliseconds. */
  readonly now: number;
  /** Milliseconds since the epoch. */
  readonly wall: number;
}

/**
 * Takes over plans that are newer than the known ones.
 * @param known - known plans
 * @param updates - plans as they were read or heard of
 * @returns the plans; no plan goes back to an older version
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
 * Says whether the confirmation is too old to rely on.
 * @param at - last confirmation and time
 * @returns whether a plan may have been accepted since
 */
export function isConfirmationStale({ confirmedAt, now }: Confirmation): boolean {
  return confirmedAt === null || now - confirmedAt > MAX_CONFIRMATION_AGE_MS;
}

/**
 * Says whether an upstream may receive new work.
 * @param known - known plans
 * @param upstream - upstream name
 * @param confirmation - last confirmation and time
 * @returns false if it is leaving, or may be without this daemon knowing
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
 * Says whether a workspace has closed.
 * @param known - known plans
 * @param workspace - workspace name
 * @param confirmation - last confirmation and time
 * @returns whether its plan was accepted or its date has come
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
