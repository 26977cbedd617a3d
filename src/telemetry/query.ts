/** Queries of the timeline: filtering the events of one daemon, and merging those of several. */
import * as z from 'zod';

import { compareStamps, instanceOf } from '../kernel/index.js';

import type { TimelineEvent } from './timeline.js';

/** Most events that one daemon returns; if more match, the oldest are left out. */
export const MAX_QUERY_EVENTS = 5_000;

/** Schema of a query; an absent field does not filter. */
export const timelineQuerySchema = z
  .strictObject({
    /** Idempotency key of a request. */
    request: z.string().optional(),
    budget: z.string().optional(),
    plan: z.string().optional(),
    instance: z.string().optional(),
    /** Earliest time, in milliseconds since the epoch. */
    since: z.coerce.number().optional(),
  })
  .readonly();

/** Filter for events of the timeline. */
export type TimelineQuery = z.infer<typeof timelineQuerySchema>;

function matchesQuery({ subject, source, stamp }: TimelineEvent, query: TimelineQuery): boolean {
  const { budget, plan, instance, since } = query;
  return (
    (budget === undefined || subject.budget === budget) &&
    (plan === undefined || subject.plan === plan) &&
    (instance === undefined || instanceOf(source) === instance) &&
    (since === undefined || stamp.wall >= since)
  );
}

/**
 * Selects the events of a request, and those about its budgets, or about an unavailable store, that the daemon
 * recorded between the first and the last event of the request.
 */
function selectRequestEvents(
  events: readonly TimelineEvent[],
  request: string,
): readonly TimelineEvent[] {
  const ownEvents = events.filter(({ subject }) => subject.request === request);
  const [first] = ownEvents;
  const last = ownEvents.at(-1);
  if (!first || !last) return [];
  const budgets = new Set(ownEvents.map(({ subject }) => subject.budget));
  budgets.delete(undefined);
  return events.filter((event) => {
    if (event.subject.request !== undefined) return event.subject.request === request;
    const during =
      compareStamps(event.stamp, first.stamp) >= 0 && compareStamps(event.stamp, last.stamp) <= 0;
    const { budget } = event.subject;
    return during && (budgets.has(budget) || event.name === 'storeUnavailable');
  });
}

/**
 * Selects the events of one daemon that match a query.
 * @param events - events of the daemon, oldest first
 * @param query - the filter
 * @returns the newest matching events, at most "MAX_QUERY_EVENTS", oldest first
 */
export function selectEvents(
  events: readonly TimelineEvent[],
  query: TimelineQuery,
): readonly TimelineEvent[] {
  const { request } = query;
  const found = request === undefined ? events : selectRequestEvents(events, request);
  return found.filter((event) => matchesQuery(event, query)).slice(-MAX_QUERY_EVENTS);
}

/**
 * Merges the events of several daemons in causal order.
 * @param parts - events of each daemon
 * @returns all events by hybrid logical time stamp, so that every cause comes before its effects
 */
export function mergeEvents(
  parts: readonly (readonly TimelineEvent[])[],
): readonly TimelineEvent[] {
  return parts
    .flat()
    .sort((a, b) => compareStamps(a.stamp, b.stamp) || (a.source < b.source ? -1 : 1));
}

/** Merged timeline of the fleet. */
export interface TimelineView {
  /** Events in causal order. */
  readonly events: readonly TimelineEvent[];
  /** Instances that did not answer, whose events are missing. */
  readonly unreachable: readonly string[];
}
