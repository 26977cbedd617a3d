/** Chooses the replicas of a holder: its backup and its standby. */
import type { Incarnation } from '../kernel/index.js';
import type { Backups } from './backups.js';

/** Replicas recorded in the shard entry. */
export interface RecordedReplicas {
  readonly replicas: readonly Incarnation[];
  /** The one recorded as the backup, even while copies go to the standby instead; null for none. */
  readonly preferred: Incarnation | null;
}

/** Replicas that should be recorded. */
export interface ReplicaPair {
  readonly backup: Incarnation | null;
  readonly standby: Incarnation | null;
  /** Whether the shard entry records exactly this backup and this standby already. */
  readonly isUnchanged: boolean;
}

/**
 * Chooses the standby; keeps a recorded replica that is reachable and not the backup. But if
 * neither that replica nor the backup is in the data centre of the holder, for instance because the
 * data centre had no other daemon before, a daemon there replaces the standby once one is
 * available.
 */
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
 * Keeps recorded replicas that are reachable, and chooses others to replace those that are not.
 * @param backups - queries the candidates
 * @param recorded - recorded replicas
 * @param isReachable - whether an incarnation answered the current check
 * @returns the replicas that should be recorded
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
