/** Reports of crashed upstreams and the prompts that were unanswered there, as daemons exchange them. */
import * as z from 'zod';

/** Prompt of a request that had no answer when its upstream crashed. */
export interface UnansweredPrompt {
  /** Ids of its parts, without the last one, which no other request has. */
  readonly parts: readonly string[];
  /** When the request was sent, in milliseconds. */
  readonly sentAt: number;
}

/** One crash of an upstream. */
export interface CrashReport {
  /** Incarnation of the upstream. */
  readonly upstream: string;
  /** When its connections ended, in milliseconds. */
  readonly at: number;
  readonly prompts: readonly UnansweredPrompt[];
  /** Parts of these prompts that had been answered shortly before. */
  readonly popular: readonly string[];
}

/** Trials of a part that is rejected. */
export interface PartTrials {
  readonly count: number;
  /** When the last one was allowed, in milliseconds. */
  readonly at: number;
}

/** What the fleet has found out. */
export interface CrashRecord {
  readonly reports: readonly CrashReport[];
  /** By part. */
  readonly trials: ReadonlyMap<string, PartTrials>;
}

/** Number of parts of a prompt that are considered; longer prompts share their first parts. */
const MAX_PARTS = 16;

/** Longest part id that is considered, in characters. */
const MAX_ID_LENGTH = 64;

/** Number of prompts in a record: with the other bounds, limits its size to some hundreds of kilobytes. */
const MAX_PROMPTS = 512;

/** Number of prompts in a report; those that were sent first are kept, as their answers begin first. */
const MAX_PROMPTS_PER_REPORT = 64;

const idSchema = z.string().max(MAX_ID_LENGTH);
const ageSchema = z.number().nonnegative();
const promptSchema = z.object({ parts: z.array(idSchema).max(MAX_PARTS), sentAgeMs: ageSchema });
const reportSchema = z.object({
  upstream: z.string(),
  ageMs: ageSchema,
  prompts: z.array(promptSchema).max(MAX_PROMPTS),
  popular: z.array(idSchema),
});
const recordSchema = z.object({
  reports: z.array(reportSchema),
  trials: z.record(
    z.string(),
    z.object({ count: z.number().int().nonnegative(), ageMs: ageSchema }),
  ),
});

/** Record without reports. */
export const NO_CRASHES: CrashRecord = { reports: [], trials: new Map() };

/**
 * Returns the parts of a prompt that other requests may share.
 * @param prompt - parts of the prompt, in order
 * @returns ids of the parts that can be suspected
 */
export function sharedPartsOf(prompt: readonly { readonly id: string }[]): readonly string[] {
  return prompt
    .slice(0, Math.min(prompt.length - 1, MAX_PARTS))
    .map(({ id }) => id)
    .filter(({ length }) => length <= MAX_ID_LENGTH);
}

function mergePrompts(prompts: readonly UnansweredPrompt[]): readonly UnansweredPrompt[] {
  const merged = new Map<string, UnansweredPrompt>();
  prompts.forEach((prompt) => {
    const key = prompt.parts.join(' ');
    const sentAt = Math.max(prompt.sentAt, merged.get(key)?.sentAt ?? prompt.sentAt);
    merged.set(key, { ...prompt, sentAt });
  });
  return [...merged.values()].sort((a, b) => a.sentAt - b.sentAt).slice(0, MAX_PROMPTS_PER_REPORT);
}

/**
 * Merges reports, also several ones of the same crash.
 * @param reports - reports of one or several daemons
 * @returns one report for each crash, the latest crash first
 */
export function mergeReports(reports: readonly CrashReport[]): readonly CrashReport[] {
  const merged = new Map<string, CrashReport>();
  reports.forEach((report) => {
    const other = merged.get(report.upstream);
    merged.set(report.upstream, {
      upstream: report.upstream,
      // Ages are counted from the receipt of a report, so that the earliest time is the most accurate.
      at: Math.min(report.at, other?.at ?? report.at),
      prompts: mergePrompts([...(other?.prompts ?? []), ...report.prompts]),
      popular: [...new Set([...(other?.popular ?? []), ...report.popular])],
    });
  });
  return [...merged.values()].sort((a, b) => b.at - a.at);
}

/**
 * Removes parts from reports.
 * @param reports - the reports
 * @param keeps - whether a part of a crash stays
 * @returns the reports that still have parts
 */
export function filterParts(
  reports: readonly CrashReport[],
  keeps: (part: string, report: CrashReport) => boolean,
): readonly CrashReport[] {
  return reports
    .map((report) => ({
      ...report,
      prompts: report.prompts
        .map(({ parts, sentAt }) => ({
          sentAt,
          parts: parts.filter((part) => keeps(part, report)),
        }))
        .filter(({ parts }) => parts.length > 0),
    }))
    .filter(({ prompts }) => prompts.length > 0);
}

/** Keeps as many reports as fit into the limit on prompts, and of popular parts those of their prompts. */
function boundedReports(reports: readonly CrashReport[]): readonly CrashReport[] {
  let left = MAX_PROMPTS;
  return reports.flatMap((report) => {
    const prompts = report.prompts.slice(0, left);
    left -= prompts.length;
    const parts = new Set(prompts.flatMap((prompt) => prompt.parts));
    const popular = report.popular.filter((part) => parts.has(part));
    return prompts.length > 0 ? [{ ...report, prompts, popular }] : [];
  });
}

/**
 * Encodes a record for the store. Clocks of instances differ, so that it holds ages.
 * @param record - the record; reports beyond the size limit are left out, the first ones stay
 * @param now - current time, in milliseconds
 * @returns plain data
 */
export function encodeCrashRecord({ reports, trials }: CrashRecord, now: number): unknown {
  const ageOf = (at: number): number => Math.max(0, Math.round(now - at));
  return {
    reports: boundedReports(reports).map(({ upstream, at, prompts, popular }) => ({
      upstream,
      ageMs: ageOf(at),
      prompts: prompts.map(({ parts, sentAt }) => ({ parts, sentAgeMs: ageOf(sentAt) })),
      popular,
    })),
    trials: Object.fromEntries(
      [...trials].map(([part, { count, at }]) => [part, { count, ageMs: ageOf(at) }]),
    ),
  };
}

/**
 * Decodes a stored record.
 * @param value - stored value; null if there is none
 * @param now - time of the receipt, from which its ages count, in milliseconds
 * @returns the record; undefined if the value is invalid
 */
export function decodeCrashRecord(value: unknown, now: number): CrashRecord | undefined {
  if (value === null || value === undefined) return NO_CRASHES;
  const parsed = recordSchema.safeParse(value);
  if (!parsed.success) return undefined;
  return {
    reports: parsed.data.reports.map(({ upstream, ageMs, prompts, popular }) => ({
      upstream,
      at: now - ageMs,
      prompts: prompts.map(({ parts, sentAgeMs }) => ({ parts, sentAt: now - sentAgeMs })),
      popular,
    })),
    trials: new Map(
      Object.entries(parsed.data.trials).map(([part, { count, ageMs }]) => [
        part,
        { count, at: now - ageMs },
      ]),
    ),
  };
}
