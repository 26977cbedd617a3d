/**
 * Shards over a restore of the store: how the shard of a new era is made from the restored copy and from what daemons
 * know, as plain data and pure functions.
 *
 * Each era has objects of its own, so that a late write of a former era never reaches the current one. Answers the load
 * of a store that forgets acknowledged writes: no unit of a forgotten draw may be drawn a second time.
 */
import { instanceOf } from '../kernel/index.js';
import { closeEarlierIncarnations, closeRows, EMPTY_SHARD, withLines } from './shard.js';

import type { Incarnation, InstanceName } from '../kernel/index.js';
import type { ShardRecovery, ShardStamp } from './recovery.js';
import type { AllowanceLine, AllowanceRow, AllowanceShard } from './shard.js';

/** Maximum number of closed incarnations that a shard names; older ones are dropped. */
const MAX_CLOSED = 256;

/** What a daemon says about a shard in a new era. */
export interface ShardHearing {
  readonly holder: Incarnation;
  /** Whether it ran in a former era. */
  readonly hasLived: boolean;
  /** Lines that it may spend; missing if it never wrote a row. */
  readonly lines?: readonly AllowanceLine[] | undefined;
  /** Earlier incarnations of its instance whose rows it has closed. */
  readonly closed: readonly Incarnation[];
  /** Latest state of a former era that it knows. */
  readonly known?: AllowanceShard | undefined;
}

const NO_STAMP: ShardStamp = { era: 0, sequence: 0 };

/**
 * Compares two states.
 * @param stamp - a state
 * @param than - another state
 * @returns whether the first is later than the second
 */
export function isLater(stamp: ShardStamp, than: ShardStamp): boolean {
  return stamp.era > than.era || (stamp.era === than.era && stamp.sequence > than.sequence);
}

/**
 * Returns the state that a shard stands for. While daemons are unheard nothing is drawn, so it stands for its base.
 * @param shard - the shard
 * @returns the state
 */
export function knowledgeStamp({ recovery }: AllowanceShard): ShardStamp {
  if (!recovery) return NO_STAMP;
  return recovery.unheard.length > 0 ? recovery.base : recovery.stamp;
}

/**
 * Returns the later of two shards.
 * @param first - a shard, kept if both are equally late
 * @param second - another shard
 * @returns the one that stands for the later state
 */
export function laterShard(
  first: AllowanceShard | undefined,
  second: AllowanceShard | undefined,
): AllowanceShard | undefined {
  if (!first || !second) return first ?? second;
  return isLater(knowledgeStamp(second), knowledgeStamp(first)) ? second : first;
}

/**
 * Returns whether units may be drawn from a shard.
 * @param shard - the shard
 * @returns whether every daemon that may have drawn units in a former era was heard or given up
 */
export function isResolved({ recovery }: AllowanceShard): boolean {
  return (recovery?.unheard.length ?? 0) === 0;
}

function unique<Value>(values: readonly Value[]): readonly Value[] {
  return [...new Set(values)];
}

/** Instances that a state names: those with rows, and those that were unheard in it. */
function instancesIn({ rows, recovery }: AllowanceShard): readonly InstanceName[] {
  return [...rows.map(({ holder }) => instanceOf(holder)), ...(recovery?.unheard ?? [])];
}

/**
 * Makes the shard of a new era from the latest known state of a former one.
 * @param era - the new era
 * @param known - latest known state; undefined if there is none
 * @param instances - registered instances, each of which may have drawn units since that state
 * @returns the shard, in which no instance is heard yet
 */
export function openShard(
  era: number,
  known: AllowanceShard | undefined,
  instances: readonly InstanceName[],
): AllowanceShard {
  const base = known ?? EMPTY_SHARD;
  const recovery: ShardRecovery = {
    stamp: { era, sequence: 0 },
    base: knowledgeStamp(base),
    carried: base.rows.map(({ holder }) => holder),
    heard: [],
    unheard: unique([...instances, ...instancesIn(base)]),
    closed: base.recovery?.closed ?? [],
    hasWitness: false,
    heldBack: base.recovery?.heldBack ?? [],
  };
  return { ...base, recovery };
}

function withRecovery(shard: AllowanceShard, change: Partial<ShardRecovery>): AllowanceShard {
  const { recovery } = shard;
  return recovery ? { ...shard, recovery: { ...recovery, ...change } } : shard;
}

/** Closes the rows of the given incarnations at their granted units and names the incarnations. */
function closeNamed(shard: AllowanceShard, closed: readonly Incarnation[]): AllowanceShard {
  const { recovery } = shard;
  if (!recovery || closed.length === 0) return shard;
  const names = unique([...recovery.closed, ...closed]).slice(-MAX_CLOSED);
  const without = closeRows(
    shard,
    ({ holder }) => closed.includes(holder),
    ({ granted }) => granted,
  );
  return withRecovery(without, {
    closed: names,
    carried: recovery.carried.filter((holder) => !closed.includes(holder)),
  });
}

/** Replaces the carried rows by those of a later state, and keeps the confirmed ones. */
function rebase(shard: AllowanceShard, known: AllowanceShard): AllowanceShard {
  const { recovery } = shard;
  if (!recovery) return shard;
  const closedThere = known.recovery?.closed ?? [];
  const confirmed = shard.rows.filter(
    ({ holder }) => !recovery.carried.includes(holder) && !closedThere.includes(holder),
  );
  const isConfirmed = ({ holder }: AllowanceRow): boolean =>
    confirmed.some((row) => row.holder === holder);
  const carried = known.rows.filter((row) => !isConfirmed(row));
  const earlier = (known.recovery?.heldBack ?? []).filter(({ era }) => era < recovery.stamp.era);
  const current = recovery.heldBack.filter(({ era }) => era === recovery.stamp.era);
  const unheard = unique([...recovery.unheard, ...instancesIn(known)]);
  const rebased = withRecovery(
    { ...shard, rows: [...confirmed, ...carried], retired: known.retired },
    {
      base: knowledgeStamp(known),
      carried: carried.map(({ holder }) => holder),
      unheard: unheard.filter((instance) => !recovery.heard.includes(instance)),
      closed: unique([...closedThere, ...recovery.closed]).slice(-MAX_CLOSED),
      heldBack: [...earlier, ...current],
    },
  );
  const closedHere = recovery.closed.filter((holder) => !closedThere.includes(holder));
  return closeNamed(rebased, closedHere);
}

function markHeard(shard: AllowanceShard, instance: InstanceName): AllowanceShard {
  const { recovery } = shard;
  if (!recovery) return shard;
  return withRecovery(shard, {
    heard: unique([...recovery.heard, instance]),
    unheard: recovery.unheard.filter((name) => name !== instance),
  });
}

function holdBack(shard: AllowanceShard, instance: InstanceName, share: number): AllowanceShard {
  const { recovery } = shard;
  if (!recovery) return shard;
  const { era } = recovery.stamp;
  const kept = recovery.heldBack.filter(
    (entry) => entry.instance !== instance || entry.era !== era,
  );
  return withRecovery(shard, { heldBack: [...kept, { instance, era, share }] });
}

function withoutRow(shard: AllowanceShard, holder: Incarnation): AllowanceShard {
  return { ...shard, rows: shard.rows.filter((row) => row.holder !== holder) };
}

/**
 * Writes what a daemon knows into the shard: the later state, its own row, and the rows that it has closed.
 * @param shard - shard of the current era
 * @param hearing - what the daemon says; it ran in a former era
 * @returns the shard; unchanged if a later incarnation has closed the daemon's row
 */
export function confirmHolder(shard: AllowanceShard, hearing: ShardHearing): AllowanceShard {
  const { holder, known, lines, closed } = hearing;
  const before = shard.recovery;
  if (!before || before.closed.includes(holder)) return shard;
  const isLaterKnown = known && isLater(knowledgeStamp(known), before.base);
  const based = isLaterKnown && !isResolved(shard) ? rebase(shard, known) : shard;
  const { recovery } = based;
  if (!recovery || recovery.closed.includes(holder)) return based;
  const instance = instanceOf(holder);
  const confirmed = lines ? withLines(withoutRow(based, holder), holder, lines) : based;
  const noted = withRecovery(confirmed, {
    carried: recovery.carried.filter((name) => name !== holder),
    hasWitness: true,
    heldBack: recovery.heldBack.filter(
      (entry) => entry.instance !== instance || entry.era !== recovery.stamp.era,
    ),
  });
  return markHeard(closeNamed(noted, closed), instance);
}

/**
 * Returns whether nothing hints at a former era: no object of one, and no daemon that knew one.
 * @param shard - shard of the current era
 * @returns whether the unheard daemons need not be awaited
 */
export function isFreshStart({ recovery }: AllowanceShard): boolean {
  return !recovery || (recovery.base.era === 0 && !recovery.hasWitness);
}

/**
 * Writes what several daemons said into the shard. Instances that were heard meanwhile are left out, as their rows may
 * have changed since they answered.
 * @param shard - shard of the current era
 * @param hearings - answers of the daemons
 * @param share - fraction of the paid units held back for an instance whose earlier process is lost
 * @returns the shard
 */
export function hearDaemons(
  shard: AllowanceShard,
  hearings: readonly ShardHearing[],
  share: number,
): AllowanceShard {
  const unheard = shard.recovery?.unheard ?? [];
  const awaited = hearings.filter(({ holder }) => unheard.includes(instanceOf(holder)));
  const witnesses = awaited.filter(({ hasLived }) => hasLived);
  const confirmed = witnesses.reduce(confirmHolder, shard);
  const isFormerKnown = witnesses.length > 0 || !isFreshStart(confirmed);
  return awaited
    .filter(({ hasLived }) => !hasLived)
    .reduce((heard, { holder }) => {
      const instance = instanceOf(holder);
      const held = isFormerKnown ? holdBack(heard, instance, share) : heard;
      return markHeard(held, instance);
    }, confirmed);
}

/**
 * Ends the wait for the unheard instances. Their rows stay, and a part of the paid units is held back for what they may
 * have drawn since.
 * @param shard - shard of the current era
 * @param share - fraction of the paid units held back for each instance
 * @returns the shard, from which units may be drawn
 */
export function giveUpUnheard(shard: AllowanceShard, share: number): AllowanceShard {
  const unheard = shard.recovery?.unheard ?? [];
  const isFresh = isFreshStart(shard);
  return unheard.reduce(
    (rest, instance) => markHeard(isFresh ? rest : holdBack(rest, instance, share), instance),
    shard,
  );
}

/**
 * Closes the rows of earlier incarnations of an instance. A row that is as a former era showed it may be older than the
 * last draw of its daemon, so a part of the paid units is held back as well.
 * @param shard - shard of the current era, from which units may be drawn
 * @param holder - current incarnation of the instance
 * @param share - fraction of the paid units that is held back
 * @returns the shard without the earlier rows
 */
export function closePredecessors(
  shard: AllowanceShard,
  holder: Incarnation,
  share: number,
): AllowanceShard {
  const { recovery } = shard;
  if (!recovery) return closeEarlierIncarnations(shard, holder);
  const instance = instanceOf(holder);
  const earlier = shard.rows
    .map((row) => row.holder)
    .filter((name) => name !== holder && instanceOf(name) === instance);
  const isUncertain = earlier.some((name) => recovery.carried.includes(name));
  const closed = closeNamed(shard, earlier);
  return isUncertain && recovery.base.era > 0 ? holdBack(closed, instance, share) : closed;
}

/**
 * Returns whether a later incarnation of the instance has closed the row of a daemon.
 * @param shard - shard of the current era
 * @param holder - incarnation of the daemon
 * @returns whether its row is closed
 */
export function isClosedHolder({ recovery }: AllowanceShard, holder: Incarnation): boolean {
  return recovery?.closed.includes(holder) ?? false;
}

/**
 * Numbers a state that is about to be written.
 * @param shard - new content of the shard
 * @param sequence - number of the state that it replaces
 * @returns the shard with the next number
 */
export function nextState(shard: AllowanceShard, sequence: number): AllowanceShard {
  const { recovery } = shard;
  if (!recovery) return shard;
  return withRecovery(shard, { stamp: { ...recovery.stamp, sequence: sequence + 1 } });
}
