/** Decides the recovery of a holder that seems to have stopped. */
import type { z } from 'zod';
import { HOLD_CAUSES } from '../budget/index.js';
import { mergeExposures } from './copies.js';

import type { ChargeLine, FencedState, HolderEntry } from '../budget/index.js';
import type { Procedure } from '../kernel/index.js';
import type { holderFencedSchema } from './messages.js';

/** What a backup hands over. */
export type FencedCopies = z.infer<typeof holderFencedSchema>;

/** What the procedure asks to be done. */
export type RecoveryCommand =
  | { readonly type: 'probe'; readonly replicas: readonly string[] }
  | { readonly type: 'claim' }
  | { readonly type: 'fence'; readonly replica: string }
  | { readonly type: 'deliver'; readonly settled: number; readonly lines: readonly ChargeLine[] }
  | { readonly type: 'finish'; readonly known: FencedState }
  | { readonly type: 'note'; readonly cause: string }
  | { readonly type: 'forget'; readonly replicas: readonly string[] };

/** What came of a command. */
export type RecoveryEvent =
  | { readonly type: 'claimed'; readonly entry: HolderEntry }
  | { readonly type: 'handed'; readonly fencedCopies: FencedCopies }
  | { readonly type: 'silent' }
  | { readonly type: 'gone' }
  | { readonly type: 'done' }
  | { readonly type: 'failed' };

/** How a recovery ended: "held" may be tried again when more is known. */
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
 * Recovers one holder: fences it in the store and wherever its copies may be, settles what is
 * there, and only then frees what is proved unused. A holder is claimed only while every daemon
 * that may have its copies answers; so one that is merely cut off goes on afterwards.
 * @param entry - the holder's entry as it was read
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
