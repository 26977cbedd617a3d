/** What one daemon knows of the plans, and what it may still dispatch by it. */
import { hasLeft, isFinal } from './state.js';

import type { StoredPlan } from './state.js';

/** Age of the last confirmation above which no work goes to what may be leaving, in milliseconds. */
export const STALE_MS = 2_000;

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
 * @param news - plans as they were read or heard of
 * @returns the plans; no plan goes back to an older version
 */
export function mergePlans(known: KnownPlans, news: readonly StoredPlan[]): KnownPlans {
  const next = new Map(known);
  news.forEach((stored) => {
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
export function isStale({ confirmedAt, now }: Confirmation): boolean {
  return confirmedAt === null || now - confirmedAt > STALE_MS;
}

/**
 * Says whether an upstream may receive new work.
 * @param known - known plans
 * @param upstream - upstream name
 * @param at - last confirmation and time
 * @returns false if it is leaving, or may be without this daemon knowing
 */
export function mayReceive(known: KnownPlans, upstream: string, at: Confirmation): boolean {
  for (const { plan } of known.values()) {
    const named = plan.document.kind === 'upstream' && plan.document.upstream === upstream;
    if (named && hasLeft(plan)) return false;
    if (named && !isFinal(plan) && isStale(at)) return false;
  }
  return true;
}

/**
 * Says whether a workspace has closed.
 * @param known - known plans
 * @param workspace - workspace name
 * @param at - last confirmation and time
 * @returns whether its plan was accepted or its date has come
 */
export function hasClosed(known: KnownPlans, workspace: string, at: Confirmation): boolean {
  for (const { plan } of known.values()) {
    const { document } = plan;
    if (document.kind === 'workspace' && document.workspace === workspace) {
      if (hasLeft(plan)) return true;
      const due = document.from !== undefined && at.wall >= Date.parse(document.from);
      if (!isFinal(plan) && !plan.paused && due) return true;
    }
  }
  return false;
}
