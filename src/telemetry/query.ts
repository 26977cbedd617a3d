/** Queries of the time line: which events are asked for, and their order. */
import { z } from 'zod';

import { compareStamps, instanceOf } from '../kernel/index.js';

import type { TimelineEvent } from './timeline.js';

/** Most events that one daemon returns; the newest go first. */
export const MAX_QUERY_EVENTS = 5_000;

/** Schema of a query; absent fields let everything through. */
export const timelineQuerySchema = z
  .strictObject({
    /** Idempotency key of a request. */
    request: z.string().optional(),
    budget: z.string().optional(),
    plan: z.string().optional(),
    instance: z.string().optional(),
    /** Milliseconds since the epoch. */
    since: z.coerce.number().optional(),
  })
  .readonly();

/** Which events are asked for. */
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

/** Adds what the daemon did with the budgets of a request while it had the request. */
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
 * Selects the events of one daemon.
 * @param events - events of the daemon, oldest first
 * @param query - which are asked for
 * @returns at most "MAX_EVENTS" of the newest, oldest first
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
 * Joins the events of several daemons in causal order.
 * @param parts - events of each daemon
 * @returns all events, every cause before its effects
 */
export function mergeEvents(
  parts: readonly (readonly TimelineEvent[])[],
): readonly TimelineEvent[] {
  return parts
    .flat()
    .sort((a, b) => compareStamps(a.stamp, b.stamp) || (a.source < b.source ? -1 : 1));
}

/** Events of the fleet. */
export interface TimelineView {
  /** Every cause before its effects. */
  readonly events: readonly TimelineEvent[];
  /** Instances that did not answer: their events are missing. */
  readonly unreachable: readonly string[];
}
