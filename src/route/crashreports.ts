/** Reports of crashed upstreams and the prompts that were unanswered there, as daemons exchange them. */
import * as z from 'zod';

import { hash32 } from '../kernel/index.js';

/** Prompt of a request that had no answer when its upstream crashed. */
export interface UnansweredPrompt {
  /** Keys of its parts, without the last one, which no other request has. */
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
  /** Whether parts were left out, as the record had reached its size limit. */
  readonly isPartial?: boolean;
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

/** Longest id that is its own key, in characters; longer ones are replaced by a digest. */
const MAX_KEY_LENGTH = 16;

/** Longest key in a stored record, in characters. */
const MAX_STORED_KEY_LENGTH = 64;

/** Radix and length of one half of a digest, in digits. */
const HEX = 16;
const HALF_DIGEST_LENGTH = 8;

/** Size limit of a record, in bytes of JSON: half of the largest value that a store takes. */
const MAX_RECORD_BYTES = 524_288;

/** Size of the fields of a prompt besides its parts, and of the quotes and comma of a part, in bytes of JSON. */
const PROMPT_BYTES = 40;
const PART_BYTES = 3;

/** Number of prompts in a report; those that were sent first are kept, as their answers begin first. */
const MAX_PROMPTS_PER_REPORT = 64;

const keySchema = z.string().max(MAX_STORED_KEY_LENGTH);
const ageSchema = z.number().nonnegative();
const promptSchema = z.object({ parts: z.array(keySchema), sentAgeMs: ageSchema });
const reportSchema = z.object({
  upstream: z.string(),
  ageMs: ageSchema,
  prompts: z.array(promptSchema).max(MAX_PROMPTS_PER_REPORT),
  popular: z.array(keySchema),
  isPartial: z.boolean().default(false),
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

/** Returns the id of a part, or a digest of fixed length in place of a long one. */
function keyOf(id: string): string {
  if (id.length <= MAX_KEY_LENGTH) return id;
  const halves = [0, 1].map((seed) => hash32(id, seed).toString(HEX));
  return halves.map((half) => half.padStart(HALF_DIGEST_LENGTH, '0')).join('');
}

/**
 * Returns the parts of a prompt that other requests may share.
 * @param prompt - parts of the prompt, in order
 * @returns keys of the parts that can be suspected, without repetitions
 */
export function sharedPartsOf(prompt: readonly { readonly id: string }[]): readonly string[] {
  return [...new Set(prompt.slice(0, -1).map(({ id }) => keyOf(id)))];
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
      isPartial: report.isPartial === true || other?.isPartial === true,
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

/** Occurrences of a part in reports. */
interface Occurrences {
  crashes: number;
  /** Size of the part in all prompts and lists of popular parts, in bytes of JSON. */
  bytes: number;
  isPopular: boolean;
}

function countOccurrences(reports: readonly CrashReport[]): ReadonlyMap<string, Occurrences> {
  const found = new Map<string, Occurrences>();
  reports.forEach(({ prompts, popular }) => {
    const inReport = new Set<string>();
    const answered = new Set(popular);
    prompts
      .flatMap(({ parts }) => parts)
      .forEach((part) => {
        const one = found.get(part) ?? { crashes: 0, bytes: 0, isPopular: false };
        found.set(part, one);
        const bytes = part.length + PART_BYTES;
        one.bytes += bytes;
        if (inReport.has(part)) return;
        inReport.add(part);
        one.crashes += 1;
        if (!answered.has(part)) return;
        one.isPopular = true;
        one.bytes += bytes;
      });
  });
  return found;
}

/**
 * Chooses the parts of a record, up to its size limit: those with most crashes, then those that were not answered
 * shortly before, then those of the first reports.
 */
function partsWithinLimit(reports: readonly CrashReport[]): ReadonlySet<string> | undefined {
  const found = [...countOccurrences(reports)];
  const promptBytes = reports.reduce((sum, { prompts }) => sum + prompts.length * PROMPT_BYTES, 0);
  let left = MAX_RECORD_BYTES - promptBytes;
  if (found.reduce((sum, [, { bytes }]) => sum + bytes, 0) <= left) return undefined;
  const ranked = found.sort(
    ([, a], [, b]) => b.crashes - a.crashes || Number(a.isPopular) - Number(b.isPopular),
  );
  const kept = ranked.filter(([, { bytes }]) => {
    const fits = bytes <= left;
    if (fits) left -= bytes;
    return fits;
  });
  return new Set(kept.map(([part]) => part));
}

/** Leaves out the least suspected parts beyond the size limit, and of the popular parts those that are in no prompt. */
function boundedReports(reports: readonly CrashReport[]): readonly CrashReport[] {
  const kept = partsWithinLimit(reports);
  return filterParts(reports, (part) => kept?.has(part) ?? true).map((report) => {
    const parts = new Set(report.prompts.flatMap((prompt) => prompt.parts));
    const popular = report.popular.filter((part) => parts.has(part));
    return { ...report, popular, isPartial: kept !== undefined || report.isPartial === true };
  });
}

/**
 * Encodes a record for the store. Clocks of instances differ, so that it holds ages.
 * @param record - the record; beyond the size limit, the parts that are least suspected are left out
 * @param now - current time, in milliseconds
 * @returns plain data
 */
export function encodeCrashRecord({ reports, trials }: CrashRecord, now: number): unknown {
  const ageOf = (at: number): number => Math.max(0, Math.round(now - at));
  return {
    reports: boundedReports(reports).map(({ upstream, at, prompts, popular, isPartial }) => ({
      upstream,
      ageMs: ageOf(at),
      prompts: prompts.map(({ parts, sentAt }) => ({ parts, sentAgeMs: ageOf(sentAt) })),
      popular,
      ...(isPartial && { isPartial }),
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
    reports: parsed.data.reports.map(({ upstream, ageMs, prompts, popular, isPartial }) => ({
      upstream,
      at: now - ageMs,
      prompts: prompts.map(({ parts, sentAgeMs }) => ({ parts, sentAt: now - sentAgeMs })),
      popular,
      isPartial,
    })),
    trials: new Map(
      Object.entries(parsed.data.trials).map(([part, { count, ageMs }]) => [
        part,
        { count, at: now - ageMs },
      ]),
    ),
  };
}
