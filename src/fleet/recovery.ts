/** Decides the recovery of a holder that seems to have stopped. */
import type { z } from 'zod';
import { HOLD_CAUSES } from '../budget/index.js';

import type { ChargeLine, FencedState, HolderEntry } from '../budget/index.js';
import type { Procedure } from '../kernel/index.js';
import type { holderFencedSchema } from './messages.js';

/** What a backup hands over. */
export type Handover = z.infer<typeof holderFencedSchema>;

/** What the procedure asks to be done. */
export type RecoveryCommand =
  | { readonly type: 'claim' }
  | { readonly type: 'fence'; readonly backup: string }
  | { readonly type: 'deliver'; readonly settled: number; readonly lines: readonly ChargeLine[] }
  | { readonly type: 'finish'; readonly known: FencedState }
  | { readonly type: 'note'; readonly cause: string }
  | { readonly type: 'forget'; readonly backup: string };

/** What came of a command. */
export type RecoveryEvent =
  | { readonly type: 'claimed'; readonly entry: HolderEntry }
  | { readonly type: 'handed'; readonly handover: Handover }
  | { readonly type: 'silent' }
  | { readonly type: 'gone' }
  | { readonly type: 'done' }
  | { readonly type: 'failed' };

/** How a recovery ended: "held" may be tried again when more is known. */
export type RecoveryOutcome = 'ended' | 'held' | 'failed';

type Recovering<Outcome> = Procedure<RecoveryCommand, RecoveryEvent, Outcome>;

function* hold(cause: string): Recovering<RecoveryOutcome> {
  yield { type: 'note', cause };
  return 'held';
}

/**
 * Recovers one holder: fences it in the store and at its backup, settles what the backup
 * holds, and only then frees what is proved unused.
 * @returns the procedure, which ends with the outcome
 */
export function* recover(): Recovering<RecoveryOutcome> {
  const claimed = yield { type: 'claim' };
  if (claimed.type !== 'claimed') return 'failed';
  const { backup, settled } = claimed.entry;
  if (backup === null) return yield* hold(HOLD_CAUSES.noBackup);
  const fenced = yield { type: 'fence', backup };
  if (fenced.type === 'gone') return yield* hold(HOLD_CAUSES.copiesLost);
  if (fenced.type !== 'handed') return yield* hold(HOLD_CAUSES.fencing);
  const { lines, exposures, window } = fenced.handover;
  const delivered = yield { type: 'deliver', settled, lines };
  if (delivered.type !== 'done') return 'failed';
  const finished = yield { type: 'finish', known: { exposures, window } };
  if (finished.type !== 'done') return 'failed';
  yield { type: 'forget', backup };
  return 'ended';
}
