/**
 * Allowance shard: the stored root of what workspaces have paid for, as plain data and rules.
 *
 * Each daemon has a row and is its only writer. A row says how many units the daemon may spend; the
 * rows of a workspace never add up to more than it has paid.
 */
import { z } from 'zod';

import { hash32, instanceOf } from '../kernel/index.js';

/** Schema of one daemon's part of one workspace. */
export const lineSchema = z
  .object({
    workspace: z.string(),
    /** Units that the daemon may spend or lend in all. */
    granted: z.number().int().nonnegative(),
    /** Units that it has spent or lent, when it last wrote. */
    spent: z.number().int().nonnegative(),
    /** Smoothed use, in units a second, when it last wrote. */
    rate: z.number().nonnegative(),
  })
  .readonly();

/** One daemon's part of one workspace. */
export type AllowanceLine = z.infer<typeof lineSchema>;

const rowSchema = z
  .object({
    /** Incarnation that may spend what the row grants. */
    holder: z.string(),
    lines: z.array(lineSchema).readonly(),
  })
  .readonly();

/** What one daemon may spend. */
export type AllowanceRow = z.infer<typeof rowSchema>;

const shardSchema = z
  .object({
    rows: z.array(rowSchema).readonly(),
    /** Units that count as spent by rows that have been closed. */
    retired: z
      .array(z.object({ workspace: z.string(), units: z.number().int().nonnegative() }).readonly())
      .readonly(),
  })
  .readonly();

/** A shard object: the allowances of several workspaces. */
export type AllowanceShard = z.infer<typeof shardSchema>;

/** A shard that nobody has written yet. */
const EMPTY_SHARD: AllowanceShard = { rows: [], retired: [] };

/**
 * Reads a stored shard.
 * @param value - stored value; null where the object does not exist
 * @returns the shard
 * @throws ZodError if the value is not a shard
 */
export function parseAllowances(value: unknown): AllowanceShard {
  return value === null || value === undefined ? EMPTY_SHARD : shardSchema.parse(value);
}

/**
 * Gives the shard of a workspace.
 * @param workspace - its name
 * @param shards - number of shards; the same at every daemon
 * @returns number of the shard
 */
export function allowanceShardOf(workspace: string, shards: number): number {
  return hash32(workspace) % shards;
}

function lineOf(row: AllowanceRow | undefined, workspace: string): AllowanceLine | undefined {
  return row?.lines.find((line) => line.workspace === workspace);
}

/**
 * Gives the units of closed rows.
 * @param shard - the shard
 * @param workspace - the workspace
 * @returns units that count as spent
 */
export function retiredOf(shard: AllowanceShard, workspace: string): number {
  return shard.retired.find((entry) => entry.workspace === workspace)?.units ?? 0;
}

/** The row of one daemon, told apart from all others. */
interface SplitRows {
  readonly own: AllowanceRow | undefined;
  readonly others: readonly AllowanceRow[];
}

function splitRows({ rows }: AllowanceShard, holder: string): SplitRows {
  return {
    own: rows.find((row) => row.holder === holder),
    others: rows.filter((row) => row.holder !== holder),
  };
}

/** What the shard shows of one workspace, seen by one daemon. */
export interface AllowanceView {
  readonly workspace: string;
  /** Units that no row grants. */
  readonly free: number;
  /** Units that nobody has spent, wherever they are. */
  readonly unspent: number;
  /** Units that count as spent by rows that have been closed. */
  readonly retired: number;
  /** Use of the other daemons together, in units a second. */
  readonly othersRate: number;
  /** Other daemons with units of the workspace. */
  readonly others: readonly { readonly holder: string; readonly held: number }[];
}

/**
 * Looks at one workspace.
 * @param shard - the shard
 * @param holder - incarnation that looks; its own row is left out
 * @param workspace - the workspace
 * @param paid - units that it has paid for
 * @returns what the others hold and use, and what is left; the own row not counted
 */
export function viewAllowance(
  shard: AllowanceShard,
  holder: string,
  workspace: string,
  paid: number,
): AllowanceView {
  const retired = retiredOf(shard, workspace);
  const lines = splitRows(shard, holder).others.flatMap((row) => {
    const line = lineOf(row, workspace);
    return line ? [{ holder: row.holder, line }] : [];
  });
  const sum = (of: (line: AllowanceLine) => number): number =>
    lines.reduce((total, { line }) => total + of(line), 0);
  return {
    workspace,
    free: paid - retired - sum(({ granted }) => granted),
    unspent: paid - retired - sum(({ spent }) => spent),
    retired,
    othersRate: sum(({ rate }) => rate),
    others: lines.map(({ holder: other, line }) => ({
      holder: other,
      held: line.granted - line.spent,
    })),
  };
}

/**
 * Writes the row of one daemon; lines that are not given stay.
 * @param shard - the shard
 * @param holder - incarnation of the daemon
 * @param lines - its lines
 * @returns the shard with them
 */
export function withLines(
  shard: AllowanceShard,
  holder: string,
  lines: readonly AllowanceLine[],
): AllowanceShard {
  const { own, others } = splitRows(shard, holder);
  const written = new Set(lines.map(({ workspace }) => workspace));
  const kept = (own?.lines ?? []).filter(({ workspace }) => !written.has(workspace));
  return { ...shard, rows: [...others, { holder, lines: [...kept, ...lines] }] };
}

/**
 * Closes rows: what they granted counts as spent, or only what a daemon that ends reports as spent.
 * @param shard - the shard
 * @param isClosed - which rows
 * @param counted - units of a line that count as spent
 * @returns the shard without the rows
 */
function closeRows(
  shard: AllowanceShard,
  isClosed: (row: AllowanceRow) => boolean,
  counted: (line: AllowanceLine) => number,
): AllowanceShard {
  const closed = shard.rows.filter(isClosed);
  if (closed.length === 0) return shard;
  const retired = new Map(shard.retired.map(({ workspace, units }) => [workspace, units]));
  closed
    .flatMap(({ lines }) => lines)
    .forEach((line) => {
      retired.set(line.workspace, (retired.get(line.workspace) ?? 0) + counted(line));
    });
  return {
    rows: shard.rows.filter((row) => !isClosed(row)),
    retired: [...retired].map(([workspace, units]) => ({ workspace, units })),
  };
}

/**
 * Closes the rows of earlier lives of an instance. Nobody knows what they spent after their last
 * report, so that all they were granted counts as spent.
 * @param shard - the shard
 * @param holder - incarnation that lives now
 * @returns the shard without the earlier rows
 */
export function closeEarlierIncarnations(shard: AllowanceShard, holder: string): AllowanceShard {
  const instance = instanceOf(holder);
  const isEarlier = (row: AllowanceRow): boolean =>
    row.holder !== holder && instanceOf(row.holder) === instance;
  return closeRows(shard, isEarlier, ({ granted }) => granted);
}

/**
 * Closes the row of a daemon that ends: what it has not spent is free again.
 * @param shard - the shard
 * @param holder - incarnation that ends
 * @param spent - units that it has spent or lent, by workspace
 * @returns the shard without the row
 */
export function closeRow(
  shard: AllowanceShard,
  holder: string,
  spent: ReadonlyMap<string, number>,
): AllowanceShard {
  const counted = ({ workspace, granted }: AllowanceLine): number =>
    Math.min(granted, spent.get(workspace) ?? granted);
  return closeRows(shard, (row) => row.holder === holder, counted);
}

/**
 * Says whether a daemon has a row.
 * @param shard - the shard
 * @param holder - its incarnation
 * @returns whether the row exists
 */
export function hasRow(shard: AllowanceShard, holder: string): boolean {
  return splitRows(shard, holder).own !== undefined;
}
