/** Chooses the daemons that should be on record as backup and standby of a holder. */
import type { Incarnation } from '../kernel/index.js';
import type { Backups } from './backups.js';

/** Daemons that are on record. */
export interface RecordedReplicas {
  readonly replicas: readonly Incarnation[];
  /** The one of them that is the backup; null for none. */
  readonly preferred: Incarnation | null;
}

/** Daemons that should be on record. */
export interface ReplicaPair {
  readonly backup: Incarnation | null;
  readonly standby: Incarnation | null;
  /** Whether just these are on record already. */
  readonly isUnchanged: boolean;
}

/** A standby elsewhere, taken before the own data centre had another daemon, is given up for one there. */
async function chooseStandby(
  backups: Backups,
  { backup, kept }: { readonly backup: Incarnation | null; readonly kept: Incarnation | null },
  excluded: readonly Incarnation[],
): Promise<Incarnation | null> {
  if (kept === null || kept === backup) return backups.chooseStandby(excluded);
  const hasLocalReplica =
    backups.isInSameDataCentre(kept) || (backup !== null && backups.isInSameDataCentre(backup));
  return hasLocalReplica ? kept : ((await backups.chooseInSameDataCentre(excluded)) ?? kept);
}

/**
 * Keeps those on record that answer, and looks for others in the place of those that do not.
 * @param backups - asks the candidates
 * @param onRecord - daemons on record
 * @param isReachable - whether an incarnation answered just now
 * @returns the daemons that should be on record
 */
export async function chooseReplicas(
  backups: Backups,
  { replicas, preferred }: RecordedReplicas,
  isReachable: (replica: Incarnation) => boolean,
): Promise<ReplicaPair> {
  const unreachable = replicas.filter((replica) => !isReachable(replica));
  const isPreferredReachable = preferred !== null && isReachable(preferred);
  const kept = replicas.find((replica) => replica !== preferred && isReachable(replica)) ?? null;
  const excludedAsBackup = kept === null ? unreachable : [...unreachable, kept];
  const backup =
    (isPreferredReachable ? preferred : await backups.chooseBackup(excludedAsBackup)) ?? kept;
  const excludedAsStandby = backup === null ? unreachable : [...unreachable, backup];
  const standby = await chooseStandby(backups, { backup, kept }, excludedAsStandby);
  const pair = [backup, standby].filter((replica) => replica !== null);
  const isSame =
    pair.length === replicas.length && pair.every((replica) => replicas.includes(replica));
  return { backup, standby, isUnchanged: isSame && backup === preferred };
}
