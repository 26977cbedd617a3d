/** Statement of a shard: pages of settled charge lines, in which each request is billed once. */
import * as z from 'zod';

import { chargeLineSchema, isObjectFull } from './charge.js';

import type { UpdateDecision } from '../store/index.js';
import type { ChargeLine } from './charge.js';
import type { BudgetShard } from './shard.js';

/** Number of lines at which a page is full. */
export const PAGE_LINES = 1_000;

/** Digits of a page number in an object key; zero padding makes keys sort by number. */
const PAGE_DIGITS = 9;

/** Schema of a page of the statement. */
export const pageSchema = z
  .object({
    /** Billed lines. */
    lines: z.array(chargeLineSchema).readonly(),
    /** Lines that repeat the request of an earlier line; they are not billed. */
    duplicates: z.array(chargeLineSchema).readonly(),
    /** Highest sequence of each holder in this page and the earlier ones. */
    marks: z.array(z.object({ holder: z.string(), through: z.number() }).readonly()).readonly(),
    /** Total units of all duplicates up to this page, for each budget; they only grow. */
    credits: z.array(z.object({ budget: z.string(), units: z.number() }).readonly()).readonly(),
  })
  .readonly();

/** A page of the statement. */
export type StatementPage = z.infer<typeof pageSchema>;

/** The page of an empty statement. */
export const EMPTY_PAGE: StatementPage = { lines: [], duplicates: [], marks: [], credits: [] };

/**
 * Returns the key prefix of the pages of a shard.
 * @param shard - shard number
 * @returns the prefix, with a trailing slash
 */
export function pagePrefix(shard: number): string {
  return `statements/${shard}/`;
}

/**
 * Returns the object key of a page.
 * @param shard - shard number
 * @param number - number of the page; the first is 1
 * @returns the object key
 */
export function pageKey(shard: number, number: number): string {
  return `${pagePrefix(shard)}${String(number).padStart(PAGE_DIGITS, '0')}`;
}

/**
 * Returns an identifier of a line's request that is unique across workspaces.
 * @param line - the line
 * @returns workspace and key, separated by a line feed
 */
export function requestIdOf(line: Pick<ChargeLine, 'workspace' | 'key'>): string {
  return `${line.workspace}\n${line.key}`;
}

/**
 * Returns the marks of a page as a map.
 * @param page - the page
 * @returns the highest sequence in the statement, by holder
 */
export function foldedMarks(page: StatementPage): ReadonlyMap<string, number> {
  return new Map(page.marks.map(({ holder, through }) => [holder, through]));
}

function isPageFull(page: StatementPage): boolean {
  return isObjectFull([...page.lines, ...page.duplicates], PAGE_LINES);
}

/** Result of a fold. */
export interface FoldedPage {
  /** Whether the page is a new one because the last one was full. */
  readonly isNewPage: boolean;
  readonly page: StatementPage;
}

/** Input of a fold. */
export interface FoldInput {
  /** Last page of the statement. */
  readonly page: StatementPage;
  /**
   * Settled lines that are not in the statement, in order for each holder; at most what fits into
   * one object.
   */
  readonly lines: readonly ChargeLine[];
  /** Returns whether the statement already has a line of a request. */
  readonly isKnown: (request: string) => boolean;
  /** Holders that have an entry in the shard; the marks of all others are dropped. */
  readonly holdersWithEntry: readonly string[];
}

/**
 * Adds settled lines to the statement. The first line of a request is billed; later ones are kept
 * as duplicates, and their units are credited.
 * @param input - last page, new lines and known requests
 * @returns the page to write
 */
export function fold(input: FoldInput): FoldedPage {
  const isLastPageFull = isPageFull(input.page);
  const marks = new Map(foldedMarks(input.page));
  const credits = new Map(input.page.credits.map(({ budget, units }) => [budget, units]));
  const seen = new Set<string>();
  const lines = isLastPageFull ? [] : [...input.page.lines];
  const duplicates = isLastPageFull ? [] : [...input.page.duplicates];
  input.lines
    .filter((line) => line.sequence > (marks.get(line.holder) ?? 0))
    .forEach((line) => {
      const request = requestIdOf(line);
      marks.set(line.holder, line.sequence);
      if (input.isKnown(request) || seen.has(request)) {
        duplicates.push(line);
        credits.set(line.budget, (credits.get(line.budget) ?? 0) + line.units);
      } else lines.push(line);
      seen.add(request);
    });
  const page: StatementPage = {
    lines,
    duplicates,
    marks: [...marks]
      .filter(([holder]) => input.holdersWithEntry.includes(holder))
      .map(([holder, through]) => ({ holder, through })),
    credits: [...credits].map(([budget, units]) => ({ budget, units })),
  };
  return { isNewPage: isLastPageFull, page };
}

/**
 * Credits the units of duplicate lines to their budgets.
 * @param shard - current shard
 * @param page - last page of the statement
 * @returns the change and whether any units were credited
 */
export function applyCredits(
  shard: BudgetShard,
  page: StatementPage,
): UpdateDecision<BudgetShard, boolean> {
  const credits = new Map(page.credits.map(({ budget, units }) => [budget, units]));
  const isBehind = shard.budgets.some(({ name, credited }) => (credits.get(name) ?? 0) > credited);
  if (!isBehind) return { kind: 'keep', outcome: false };
  const budgets = shard.budgets.map((budget) => {
    const credited = Math.max(budget.credited, credits.get(budget.name) ?? 0);
    return { ...budget, credited };
  });
  return { kind: 'write', value: { ...shard, budgets }, outcome: true };
}
