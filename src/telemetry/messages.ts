/** Messages with which daemons read the timelines of their peers. */
import * as z from 'zod';

import { EVENTS } from './events.js';
import { timelineQuerySchema } from './query.js';

import type { EventName } from './events.js';

const stampSchema = z.object({ wall: z.number(), count: z.number() }).readonly();

const subjectSchema = z
  .object({
    request: z.string().optional(),
    budget: z.string().optional(),
    plan: z.string().optional(),
    peer: z.string().optional(),
    upstream: z.string().optional(),
    detail: z.string().optional(),
  })
  .readonly();

const eventSchema = z
  .object({
    stamp: stampSchema,
    source: z.string(),
    number: z.number().int(),
    name: z.custom<EventName>((name) => typeof name === 'string' && name in EVENTS),
    subject: subjectSchema,
  })
  .readonly();

/** Request for the events of a peer that match a query. */
export const readTimelineSchema = z
  .object({ type: z.literal('read-timeline'), query: timelineQuerySchema })
  .readonly();

/** Reply with the matching events, oldest first. */
export const timelineReadSchema = z
  .object({ type: z.literal('timeline-read'), events: z.array(eventSchema).readonly() })
  .readonly();

/** Schemas of the messages of the timeline. */
export const telemetryMessages = [readTimelineSchema, timelineReadSchema] as const;
