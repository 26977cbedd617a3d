/** Makes claims durable in the store before a non-idempotent request is dispatched. */
import { Err, failure, newRequestKey, Ok } from '../kernel/index.js';
import { claimKey, claimSchema } from '../request/index.js';

import type { Failure, Incarnation, Result } from '../kernel/index.js';
import type { ObjectStore, StoredObject } from '../store/index.js';
import type { Claim, KeyName } from '../request/index.js';

/** Reads that are tried to resolve a write whose answer was lost. */
const READ_ATTEMPTS = 3;

/** Owns the claims that requests of this daemon have made. */
export class Claims {
  /**
   * Creates the task.
   * @param self - own incarnation
   * @param store - the object API
   */
  constructor(
    private readonly self: Incarnation,
    private readonly store: ObjectStore,
  ) {}

  /**
   * Claims a key: at most one attempt of the whole fleet ever gets it.
   * @param name - workspace and key
   * @returns the claim, or a failure; "unknown" where another attempt has the claim
   */
  async acquire(name: KeyName): Promise<Result<Claim, Failure>> {
    const claim: Claim = {
      ...name,
      owner: this.self,
      attempt: newRequestKey(),
      at: Date.now(),
    };
    const written = await this.store.write(claimKey(name.workspace, name.key), claim, 0);
    if (written.ok) return Ok(claim);
    if (written.val.problem === 'refused')
      return Err(failure('store-unavailable', written.val.text));
    return this.#resolveUncertain(claim);
  }

  /**
   * Takes a claim back whose request was proved not to have run, so that a repeat may run.
   * @param claim - a claim of this daemon
   */
  async withdraw(claim: Claim): Promise<void> {
    const found = await this.#read(claim);
    if (found && this.#isMine(found, claim)) await this.store.remove(found.key, found.version);
  }

  /** After a conflict or a lost answer, the object itself says whose claim is in force. */
  async #resolveUncertain(claim: Claim): Promise<Result<Claim, Failure>> {
    const found = await this.#read(claim);
    const subject = `claim of key ${claim.key}`;
    if (!found) {
      // Whatever took effect must not block a repeat: this attempt will not dispatch.
      void this.withdraw(claim);
      return Err(failure('store-unavailable', subject));
    }
    if (found.version === 0) return Err(failure('store-unavailable', subject));
    if (this.#isMine(found, claim)) return Ok(claim);
    return Err(failure('outcome-unknown', subject, 'unknown'));
  }

  #isMine(found: StoredObject, claim: Claim): boolean {
    const parsed = claimSchema.safeParse(found.value);
    return parsed.success && parsed.data.attempt === claim.attempt;
  }

  async #read({ workspace, key }: Claim): Promise<StoredObject | undefined> {
    for (let attempt = 0; attempt < READ_ATTEMPTS; attempt += 1) {
      // eslint-disable-next-line no-await-in-loop
      const found = await this.store.read(claimKey(workspace, key));
      if (found.ok) return found.val;
    }
    return undefined;
  }
}
