/** Recovery of a holder that is suspected to have stopped, as a procedure without I/O. */
import type { z } from 'zod';
import { HOLD_CAUSES } from '../budget/index.js';
import { mergeExposures } from './copies.js';

import type { ChargeLine, FencedState, HolderEntry } from '../budget/index.js';
import type { Procedure } from '../kernel/index.js';
import type { holderFencedSchema } from './messages.js';

/** Copies that a backup returns after it has fenced a holder. */
export type FencedCopies = z.infer<typeof holderFencedSchema>;

/** Commands of the procedure. */
export type RecoveryCommand =
  | { readonly type: 'probe'; readonly replicas: readonly string[] }
  | { readonly type: 'claim' }
  | { readonly type: 'fence'; readonly replica: string }
  | { readonly type: 'deliver'; readonly settled: number; readonly lines: readonly ChargeLine[] }
  | { readonly type: 'finish'; readonly known: FencedState }
  | { readonly type: 'note'; readonly cause: string }
  | { readonly type: 'forget'; readonly replicas: readonly string[] };

/** Results of the commands. */
export type RecoveryEvent =
  | { readonly type: 'claimed'; readonly entry: HolderEntry }
  | { readonly type: 'handed'; readonly fencedCopies: FencedCopies }
  | { readonly type: 'silent' }
  | { readonly type: 'gone' }
  | { readonly type: 'done' }
  | { readonly type: 'failed' };

/** Result of a recovery. "held": units stay held, and the recovery may be retried later. */
export type RecoveryOutcome = 'ended' | 'held' | 'failed';

type RecoveryProcedure<Outcome> = Procedure<RecoveryCommand, RecoveryEvent, Outcome>;

function replicasOf({ backup, standby }: HolderEntry): readonly string[] {
  return [backup, standby].filter((replica) => replica !== null);
}

function* recordHold(event: RecoveryEvent): RecoveryProcedure<RecoveryOutcome> {
  const cause = event.type === 'gone' ? HOLD_CAUSES.copiesLost : HOLD_CAUSES.fencing;
  yield { type: 'note', cause };
  return 'held';
}

function mergeCopies(a: FencedCopies, b: FencedCopies): FencedCopies {
  const known = new Set(a.lines.map(({ sequence }) => sequence));
  const more = b.lines.filter(({ sequence }) => !known.has(sequence));
  return {
    ...a,
    lines: [...a.lines, ...more].sort((x, y) => x.sequence - y.sequence),
    exposures: mergeExposures(a.exposures, b.exposures),
    window: Math.max(a.window, b.window),
  };
}

const NO_FENCED_COPIES: FencedCopies = {
  type: 'holder-fenced',
  isBackup: true,
  lines: [],
  exposures: [],
  window: 0,
};

/**
 * Recovers one holder: fences it in the store and at every daemon that may have copies of its
 * lines, settles the copied lines, and only then releases the units that are proved unused. A
 * holder is claimed only if all these daemons answer; otherwise a holder that is merely
 * disconnected stays active.
 * @param entry - the holder's entry as last read from the store
 * @returns the procedure, which ends with the outcome
 */
export function* recover(entry: HolderEntry): RecoveryProcedure<RecoveryOutcome> {
  if (replicasOf(entry).length === 0) {
    yield { type: 'note', cause: HOLD_CAUSES.noBackup };
    return 'held';
  }
  const probed = yield { type: 'probe', replicas: replicasOf(entry) };
  if (probed.type !== 'done') return yield* recordHold(probed);
  const claimed = yield { type: 'claim' };
  if (claimed.type !== 'claimed') return 'failed';
  const recordedReplicas = replicasOf(claimed.entry);
  let known = NO_FENCED_COPIES;
  for (const recordedReplica of recordedReplicas) {
    const fenced = yield { type: 'fence', replica: recordedReplica };
    if (fenced.type !== 'handed') return yield* recordHold(fenced);
    known = mergeCopies(known, fenced.fencedCopies);
  }
  const { lines, exposures, window } = known;
  const delivered = yield { type: 'deliver', settled: claimed.entry.settled, lines };
  if (delivered.type !== 'done') return 'failed';
  const finished = yield { type: 'finish', known: { exposures, window } };
  if (finished.type !== 'done') return 'failed';
  yield { type: 'forget', replicas: recordedReplicas };
  return 'ended';
}
