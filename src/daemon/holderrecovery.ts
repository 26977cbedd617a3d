/** Executes the recovery procedure for one holder in one shard. */
import {
  claimRecovery,
  finishRecovery,
  recordCause,
  parseShard,
  shardKey,
} from '../budget/index.js';
import { recover } from '../fleet/index.js';
import { drive, instanceOf } from '../kernel/index.js';
import { updateObject } from '../store/index.js';
import { deliverLines } from './delivery.js';

import type { HolderEntry, RecoveryAnswer } from '../budget/index.js';
import type { RecoveryCommand, RecoveryEvent, RecoveryOutcome } from '../fleet/index.js';
import type { Incarnation, Result } from '../kernel/index.js';
import type { ObjectStore, StoreError } from '../store/index.js';
import type { Recorder } from '../telemetry/index.js';
import type { Backups } from './backups.js';

/** Dependencies of a recovery. */
export interface RecoveryContext {
  readonly self: Incarnation;
  readonly store: ObjectStore;
  readonly backups: Backups;
  readonly recorder: Recorder;
}

function toEvent(done: Result<RecoveryAnswer, StoreError>): RecoveryEvent {
  return { type: done.ok && done.val.isAllowed ? 'done' : 'failed' };
}

/** Executes the commands of one recovery. */
class RecoveryRun {
  readonly #shardObject;

  constructor(
    private readonly ctx: RecoveryContext,
    private readonly shard: number,
    private readonly holder: Incarnation,
  ) {
    this.#shardObject = { key: shardKey(shard), parse: parseShard };
  }

  async perform(command: RecoveryCommand): Promise<RecoveryEvent> {
    const { ctx, holder, shard } = this;
    const by = ctx.self;
    switch (command.type) {
      case 'claim':
        return this.#claim();
      case 'fence':
        return this.#fence(command.replica);
      case 'probe':
        return this.#probe(command.replicas);
      case 'deliver': {
        const { settled, lines } = command;
        const delivered = await deliverLines(ctx.store, { shard, holder, by, settled, lines });
        return { type: delivered.ok && !delivered.val.fenced ? 'done' : 'failed' };
      }
      case 'finish': {
        const request = { holder, by, known: command.known };
        return toEvent(
          await updateObject(ctx.store, this.#shardObject, (v) => finishRecovery(v, request)),
        );
      }
      case 'note': {
        const { cause } = command;
        return toEvent(
          await updateObject(ctx.store, this.#shardObject, (v) => recordCause(v, holder, cause)),
        );
      }
      default:
        await Promise.all(
          command.replicas.map((replica) => ctx.backups.fenceAt(replica, holder, shard, true)),
        );
        return { type: 'done' };
    }
  }

  async #claim(): Promise<RecoveryEvent> {
    const { ctx, holder } = this;
    const claimed = await updateObject(ctx.store, this.#shardObject, (v) =>
      claimRecovery(v, holder, ctx.self),
    );
    const entry = claimed.ok && claimed.val.isAllowed ? claimed.val.entry : undefined;
    return entry ? { type: 'claimed', entry } : { type: 'failed' };
  }

  async #probe(replicas: readonly Incarnation[]): Promise<RecoveryEvent> {
    const { backups, self } = this.ctx;
    const others = replicas.filter((replica) => replica !== self);
    const answers = await Promise.all(
      others.map(async (replica) => {
        const answer = await backups.query(instanceOf(replica), self);
        return { replica, self: answer?.self };
      }),
    );
    if (answers.some((answer) => answer.self === undefined)) return { type: 'silent' };
    return { type: answers.every((answer) => answer.self === answer.replica) ? 'done' : 'gone' };
  }

  async #fence(backup: Incarnation): Promise<RecoveryEvent> {
    const { ctx, holder, shard } = this;
    const handover = await ctx.backups.fenceAt(backup, holder, shard, false);
    if (!handover) return { type: 'silent' };
    return handover.isBackup ? { type: 'handed', fencedCopies: handover } : { type: 'gone' };
  }
}

/**
 * Recovers a holder that seems to have stopped.
 * @param ctx - store, backups and identity of the recoverer
 * @param shard - shard number
 * @param entry - entry of the holder, as last read
 * @returns how the recovery ended
 */
export async function recoverHolder(
  ctx: RecoveryContext,
  shard: number,
  entry: HolderEntry,
): Promise<RecoveryOutcome> {
  const { recorder } = ctx;
  const subject = { peer: entry.holder, detail: `shard ${shard}` };
  if (entry.cause === '') recorder.record('recoveryBegun', subject);
  const run = new RecoveryRun(ctx, shard, entry.holder);
  const outcome = await drive(recover(entry), (command) => run.perform(command));
  if (outcome === 'ended') recorder.record('recoveryEnded', subject);
  if (outcome === 'held' && entry.cause === '') recorder.record('recoveryHeld', subject);
  return outcome;
}
