/** Read, change, write: conditional updates that survive lost answers. */
import { Err, Ok } from '../kernel/index.js';

import type { Result } from '../kernel/index.js';
import type { ObjectStore, StoreError } from './objectstore.js';

/** What a change makes of the value that is in force. */
export type UpdateDecision<Value, Outcome> =
  | { readonly kind: 'write'; readonly value: Value; readonly outcome: Outcome }
  | { readonly kind: 'keep'; readonly outcome: Outcome };

/** An object of the system's own kind. */
export interface ObjectKind<Value> {
  readonly key: string;
  /** Reads a stored value; null stands for an object that does not exist. */
  readonly parse: (value: unknown) => Value;
}

/** Attempts before an update gives up under conflicts or lost answers. */
const MAX_ATTEMPTS = 12;

/**
 * Updates one object by a conditional write, again after a conflict or a lost answer.
 * The change must recognise its own earlier effect (counters that only grow, an
 * operation id), since after a lost answer it sees the object as it then is.
 * @param store - the object API
 * @param kind - key and parser of the object
 * @param decide - pure function of the value in force
 * @returns the outcome of the change that took effect, or why none is known to have
 */
export async function updateObject<Value, Outcome>(
  store: ObjectStore,
  kind: ObjectKind<Value>,
  decide: (value: Value) => UpdateDecision<Value, Outcome>,
): Promise<Result<Outcome, StoreError>> {
  let lastError: StoreError = { problem: 'refused', key: kind.key, text: 'no attempt was made' };
  let mayHaveTakenEffect = false;
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    // eslint-disable-next-line no-await-in-loop
    const found = await store.read(kind.key);
    if (found.err) return Err({ ...found.val, problem: mayHaveTakenEffect ? 'lost' : 'refused' });
    const decision = decide(kind.parse(found.val.value));
    if (decision.kind === 'keep') return Ok(decision.outcome);
    // eslint-disable-next-line no-await-in-loop
    const written = await store.write(kind.key, decision.value, found.val.version);
    if (written.ok) return Ok(decision.outcome);
    lastError = written.val;
    mayHaveTakenEffect = mayHaveTakenEffect || lastError.problem === 'lost';
    if (lastError.problem === 'refused')
      return Err({ ...lastError, problem: mayHaveTakenEffect ? 'lost' : 'refused' });
  }
  return Err({ ...lastError, problem: mayHaveTakenEffect ? 'lost' : lastError.problem });
}
