/** Statement of a shard: settled lines in pages, each request key billed once. */
import { z } from 'zod';

import { chargeLineSchema, isObjectFull } from './charge.js';

import type { Change } from '../store/index.js';
import type { ChargeLine } from './charge.js';
import type { BudgetShard } from './shard.js';

/** Lines after which a page is full. */
export const PAGE_LINES = 1_000;

/** Digits of a page number in an object key, so that keys sort by number. */
const PAGE_DIGITS = 9;

/** Schema of a page of the statement. */
export const pageSchema = z
  .object({
    /** Billed lines. */
    lines: z.array(chargeLineSchema).readonly(),
    /** Lines that repeat the key of an earlier line; they are not billed. */
    duplicates: z.array(chargeLineSchema).readonly(),
    /** Highest sequence of each holder that this page and those before it hold. */
    marks: z.array(z.object({ holder: z.string(), through: z.number() }).readonly()).readonly(),
    /** Units of all duplicates so far, for each budget; only grow. */
    credits: z.array(z.object({ budget: z.string(), units: z.number() }).readonly()).readonly(),
  })
  .readonly();

/** A page of the statement. */
export type StatementPage = z.infer<typeof pageSchema>;

/** The page before the first line. */
export const EMPTY_PAGE: StatementPage = { lines: [], duplicates: [], marks: [], credits: [] };

/**
 * Gives the key prefix of the pages of a shard.
 * @param shard - shard number
 * @returns the prefix, with its closing slash
 */
export function pagePrefix(shard: number): string {
  return `statements/${shard}/`;
}

/**
 * Names a page.
 * @param shard - shard number
 * @param number - number of the page; the first is 1
 * @returns the object key
 */
export function pageKey(shard: number, number: number): string {
  return `${pagePrefix(shard)}${String(number).padStart(PAGE_DIGITS, '0')}`;
}

/**
 * Identifies the request of a line among all workspaces.
 * @param line - the line
 * @returns workspace and key
 */
export function requestIdOf(line: Pick<ChargeLine, 'workspace' | 'key'>): string {
  return `${line.workspace}\n${line.key}`;
}

/**
 * Gives the marks of a page as a map.
 * @param page - the page
 * @returns highest folded sequence of each holder
 */
export function foldedMarks(page: StatementPage): ReadonlyMap<string, number> {
  return new Map(page.marks.map(({ holder, through }) => [holder, through]));
}

function isPageFull(page: StatementPage): boolean {
  return isObjectFull([...page.lines, ...page.duplicates], PAGE_LINES);
}

/** The page that a fold writes. */
export interface FoldedPage {
  /** A new page begins: the last one was full. */
  readonly isNewPage: boolean;
  readonly page: StatementPage;
}

/** What a fold starts from. */
export interface FoldInput {
  /** Last page. */
  readonly page: StatementPage;
  /** Settled lines that no page holds, each holder's in order; no more than one object takes. */
  readonly lines: readonly ChargeLine[];
  /** Whether an earlier line has the same request. */
  readonly isKnown: (request: string) => boolean;
  /** Holders that still have an entry in the shard. */
  readonly holdersWithEntry: readonly string[];
}

/**
 * Adds settled lines to the statement: the first line of a request is billed, a later one is
 * kept as a duplicate and credited.
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
 * Gives the units of duplicate lines back to their budgets.
 * @param shard - shard in force
 * @param page - last page of the statement
 * @returns the change and whether anything was given back
 */
export function applyCredits(
  shard: BudgetShard,
  page: StatementPage,
): Change<BudgetShard, boolean> {
  const credits = new Map(page.credits.map(({ budget, units }) => [budget, units]));
  const isBehind = shard.budgets.some(({ name, credited }) => (credits.get(name) ?? 0) > credited);
  if (!isBehind) return { kind: 'keep', outcome: false };
  const budgets = shard.budgets.map((budget) => {
    const credited = Math.max(budget.credited, credits.get(budget.name) ?? 0);
    return { ...budget, credited };
  });
  return { kind: 'write', value: { ...shard, budgets }, outcome: true };
}
