/** Read-modify-write updates of an object that are safe to retry after a lost response. */
import { Err, Ok } from '../kernel/index.js';

import type { Result } from '../kernel/index.js';
import type { ObjectStore, StoreError } from './objectstore.js';

/** What an update does with the stored value: replace it, or leave it unchanged. */
export type UpdateDecision<Value, Outcome> =
  | { readonly kind: 'write'; readonly value: Value; readonly outcome: Outcome }
  | { readonly kind: 'keep'; readonly outcome: Outcome };

/** Key and parser of an object that the fleet stores. */
export interface ObjectKind<Value> {
  readonly key: string;
  /** Parses the stored value; receives null if the object does not exist. */
  readonly parse: (value: unknown) => Value;
}

/** Attempts before an update gives up after conflicts or lost responses. */
const MAX_ATTEMPTS = 12;

/** Longest text of a parser's error, in characters. */
const MAX_ERROR_CHARS = 500;

/**
 * Parses a stored object.
 * @param kind - key and parser of the object
 * @param value - the stored value; null if the object does not exist
 * @returns the parsed value; an error with problem "refused" if the parser rejects it
 */
export function parseObject<Value>(
  { key, parse }: ObjectKind<Value>,
  value: unknown,
): Result<Value, StoreError> {
  try {
    return Ok(parse(value));
  } catch (err) {
    const text = `invalid object, restore it: ${String(err).slice(0, MAX_ERROR_CHARS)}`;
    return Err({ problem: 'refused', key, text });
  }
}

/**
 * Updates one object by a conditional write, and retries after a conflict or a lost response.
 * After a lost response the write may already have taken effect, so "decide" must recognise its own
 * earlier write in the value that it is given, for example by an operation id or by counters that only grow.
 * @param store - the object API
 * @param kind - key and parser of the object
 * @param decide - pure function that computes the update from the stored value
 * @returns the outcome of the update that took effect. An error with problem "lost" means that an earlier
 * write may have taken effect; with any other problem, no write took effect
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
    const current = parseObject(kind, found.val.value);
    if (current.err) {
      return Err({ ...current.val, problem: mayHaveTakenEffect ? 'lost' : 'refused' });
    }
    const decision = decide(current.val);
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
