/**
 * Allowance shard: the stored object that divides the paid units of several workspaces among
 * daemons, as plain data and pure functions.
 *
 * Each daemon has one row and is its only writer, except that a later incarnation of the same
 * instance closes it. A row holds the units that the daemon may spend; the rows of a workspace
 * never grant more units in total than it has paid for.
 */
import * as z from 'zod';

import { hash32, instanceOf } from '../kernel/index.js';
import { heldBackUnits, recoverySchema } from './recovery.js';

/** Schema of one daemon's units of one workspace. */
export const lineSchema = z
  .object({
    workspace: z.string(),
    /** Total units that the daemon may spend or lend. */
    granted: z.number().int().nonnegative(),
    /** Units that it had spent or lent at its last write. */
    spent: z.number().int().nonnegative(),
    /** Smoothed use at its last write, in units per second. */
    rate: z.number().nonnegative(),
  })
  .readonly();

/** One daemon's units of one workspace. */
export type AllowanceLine = z.infer<typeof lineSchema>;

const rowSchema = z
  .object({
    /** Incarnation that may spend the granted units. */
    holder: z.string(),
    lines: z.array(lineSchema).readonly(),
  })
  .readonly();

/** Units that one daemon may spend, by workspace. */
export type AllowanceRow = z.infer<typeof rowSchema>;

/** Schema of a shard object. */
export const allowanceShardSchema = z
  .object({
    rows: z.array(rowSchema).readonly(),
    /** Units that count as spent under closed rows, by workspace. */
    retired: z
      .array(z.object({ workspace: z.string(), units: z.number().int().nonnegative() }).readonly())
      .readonly(),
    /** What is certain in this era of the store; missing for a store without eras. */
    recovery: recoverySchema.optional(),
  })
  .readonly();

/** A shard object: the allowances of several workspaces. */
export type AllowanceShard = z.infer<typeof allowanceShardSchema>;

/** A shard that does not exist in the store yet. */
export const EMPTY_SHARD: AllowanceShard = { rows: [], retired: [] };

/**
 * Parses a stored shard.
 * @param value - stored value; null where the object does not exist
 * @returns the shard
 * @throws ZodError if the value is not a shard
 */
export function parseAllowances(value: unknown): AllowanceShard {
  return value === null || value === undefined ? EMPTY_SHARD : allowanceShardSchema.parse(value);
}

/**
 * Returns the shard of a workspace.
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
 * Returns the units that count as spent under closed rows.
 * @param shard - the shard
 * @param workspace - the workspace
 * @returns units
 */
export function retiredOf(shard: AllowanceShard, workspace: string): number {
  return shard.retired.find((entry) => entry.workspace === workspace)?.units ?? 0;
}

/** The row of one daemon and the rows of all others. */
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

/** State of one workspace from the perspective of one daemon, whose own row is not counted. */
export interface AllowanceView {
  readonly workspace: string;
  /** Units that no row of another daemon grants. */
  readonly free: number;
  /** Units that no other daemon has spent, granted or not. */
  readonly unspent: number;
  /** Units that count as spent under closed rows. */
  readonly retired: number;
  /** Combined use of the other daemons, in units per second. */
  readonly othersRate: number;
  /** Units held by each other daemon that has a line for the workspace. */
  readonly others: readonly { readonly holder: string; readonly held: number }[];
}

/**
 * Computes the state of one workspace from the perspective of one daemon.
 * @param shard - the shard
 * @param holder - incarnation whose own row is left out
 * @param workspace - the workspace
 * @param paid - units that the workspace has paid for
 * @returns the units that the other daemons hold and use, and the remaining ones
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
  const certain = paid - heldBackUnits(shard.recovery, paid);
  return {
    workspace,
    free: certain - retired - sum(({ granted }) => granted),
    unspent: certain - retired - sum(({ spent }) => spent),
    retired,
    othersRate: sum(({ rate }) => rate),
    others: lines.map(({ holder: other, line }) => ({
      holder: other,
      held: line.granted - line.spent,
    })),
  };
}

/**
 * Replaces the given lines in the row of one daemon and keeps its other lines.
 * @param shard - the shard
 * @param holder - incarnation of the daemon
 * @param lines - new lines, at most one for each workspace
 * @returns the updated shard
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
 * Removes rows and adds the units that count as spent under them to the retired units.
 * @param shard - the shard
 * @param isClosed - selects the rows to close
 * @param counted - units of a line that count as spent
 * @returns the shard without the rows
 */
export function closeRows(
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
    ...shard,
    rows: shard.rows.filter((row) => !isClosed(row)),
    retired: [...retired].map(([workspace, units]) => ({ workspace, units })),
  };
}

/**
 * Closes the rows of earlier incarnations of an instance. What they spent after their last write is
 * unknown, so all units that they were granted count as spent.
 * @param shard - the shard
 * @param holder - current incarnation of the instance
 * @returns the shard without the earlier rows
 */
export function closeEarlierIncarnations(shard: AllowanceShard, holder: string): AllowanceShard {
  const instance = instanceOf(holder);
  const isEarlier = (row: AllowanceRow): boolean =>
    row.holder !== holder && instanceOf(row.holder) === instance;
  return closeRows(shard, isEarlier, ({ granted }) => granted);
}

/**
 * Closes the row of a daemon that shuts down; its unspent units become free.
 * @param shard - the shard
 * @param holder - incarnation that shuts down
 * @param spent - units that it has spent or lent, by workspace; a missing workspace counts as fully
 * spent
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
 * Returns whether a daemon has a row.
 * @param shard - the shard
 * @param holder - its incarnation
 * @returns whether the row exists
 */
export function hasRow(shard: AllowanceShard, holder: string): boolean {
  return splitRows(shard, holder).own !== undefined;
}
