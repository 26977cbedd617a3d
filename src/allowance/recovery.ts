/** Part of a shard object that says what is certain about it after the store has come back from an older copy. */
import * as z from 'zod';

/** A state of a shard: writes within one era of the store follow each other, so a larger number is a later state. */
export const shardStampSchema = z
  .object({
    /** Era of the store; 0 for a store without eras. */
    era: z.number().int().nonnegative(),
    /** Number of the write within the era. */
    sequence: z.number().int().nonnegative(),
  })
  .readonly();

/** A state of a shard: writes within one era of the store follow each other, so a larger number is a later state. */
export type ShardStamp = z.infer<typeof shardStampSchema>;

/** Schema of the recovery of a shard in one era of the store. */
export const recoverySchema = z
  .object({
    /** This state of the shard. */
    stamp: shardStampSchema,
    /** Latest state of a former era that the shard was made from. */
    base: shardStampSchema,
    /** Incarnations whose rows are as the base shows them. */
    carried: z.array(z.string()).readonly(),
    /** Instances whose rows are confirmed, or that hold nothing from the former era. */
    heard: z.array(z.string()).readonly(),
    /** Instances that may have drawn units which the base does not show; no units are drawn before they are heard. */
    unheard: z.array(z.string()).readonly(),
    /** Incarnations whose rows were closed by a later incarnation of the same instance. */
    closed: z.array(z.string()).readonly(),
    /** Whether a daemon that knew the former era was heard. */
    hasWitness: z.boolean(),
    /** Units that lost daemons may have spent beyond the rows, as fractions of the paid units. */
    heldBack: z
      .array(z.object({ instance: z.string(), era: z.number(), share: z.number() }).readonly())
      .readonly(),
  })
  .readonly();

/** Recovery of a shard in one era of the store. */
export type ShardRecovery = z.infer<typeof recoverySchema>;

/**
 * Fraction of the paid units of a workspace that all daemons together may spend without a copy of the draw at a peer,
 * within the age of the oldest copy that a store comes back from.
 */
const UNCOPIED_SHARE = 0.05;

/**
 * Returns the part of the paid units that one daemon may spend without a copy of its draw at a peer; as much is held
 * back for a daemon that is lost together with the last seconds of the store.
 * @param daemons - number of registered daemons
 * @returns fraction of the paid units of each workspace
 */
export function uncopiedShare(daemons: number): number {
  return UNCOPIED_SHARE / Math.max(1, daemons);
}

/**
 * Returns the units of a workspace that are held back.
 * @param recovery - recovery of its shard; undefined for a store without eras
 * @param paid - paid units of the workspace
 * @returns units, 0 in a store without eras
 */
export function heldBackUnits(recovery: ShardRecovery | undefined, paid: number): number {
  if (!recovery) return 0;
  const share = recovery.heldBack.reduce((sum, entry) => sum + entry.share, 0);
  return Math.ceil(Math.max(0, paid) * Math.min(1, share));
}
