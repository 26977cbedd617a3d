/** Chooses the daemons that should be on record as backup and standby of a holder. */
import type { Incarnation } from '../kernel/index.js';
import type { Backups } from './backups.js';

/** Daemons that are on record. */
export interface KeepersOnRecord {
  readonly keepers: readonly Incarnation[];
  /** The one of them that is the backup; null for none. */
  readonly preferred: Incarnation | null;
}

/** Daemons that should be on record. */
export interface KeeperPair {
  readonly backup: Incarnation | null;
  readonly standby: Incarnation | null;
  /** Whether just these are on record already. */
  readonly isOnRecord: boolean;
}

/** A standby elsewhere, taken before the own data centre had another daemon, is given up for one there. */
async function chooseStandby(
  backups: Backups,
  { backup, kept }: { readonly backup: Incarnation | null; readonly kept: Incarnation | null },
  excluded: readonly Incarnation[],
): Promise<Incarnation | null> {
  if (kept === null || kept === backup) return backups.chooseStandby(excluded);
  const isOneNear = backups.isNear(kept) || (backup !== null && backups.isNear(backup));
  return isOneNear ? kept : ((await backups.chooseNear(excluded)) ?? kept);
}

/**
 * Keeps those on record that answer, and looks for others in the place of those that do not.
 * @param backups - asks the candidates
 * @param onRecord - daemons on record
 * @param isThere - whether an incarnation answered just now
 * @returns the daemons that should be on record
 */
export async function chooseKeepers(
  backups: Backups,
  { keepers, preferred }: KeepersOnRecord,
  isThere: (keeper: Incarnation) => boolean,
): Promise<KeeperPair> {
  const gone = keepers.filter((keeper) => !isThere(keeper));
  const isPreferredThere = preferred !== null && isThere(preferred);
  const kept = keepers.find((keeper) => keeper !== preferred && isThere(keeper)) ?? null;
  const taken = kept === null ? gone : [...gone, kept];
  const backup = (isPreferredThere ? preferred : await backups.choose(taken)) ?? kept;
  const excluded = backup === null ? gone : [...gone, backup];
  const standby = await chooseStandby(backups, { backup, kept }, excluded);
  const pair = [backup, standby].filter((keeper) => keeper !== null);
  const isSame = pair.length === keepers.length && pair.every((keeper) => keepers.includes(keeper));
  return { backup, standby, isOnRecord: isSame && backup === preferred };
}
