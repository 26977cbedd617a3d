/** Claims idempotency keys in the store before non-idempotent requests are dispatched. */
import { Err, failure, newRequestKey, Ok } from '../kernel/index.js';
import { claimKey, claimSchema } from '../request/index.js';

import type { Failure, Incarnation, Result } from '../kernel/index.js';
import type { ObjectStore, StoredObject } from '../store/index.js';
import type { Claim, KeyName } from '../request/index.js';

/**
 * Maximum number of attempts to read a claim, for instance after the answer to a write was lost.
 */
const READ_ATTEMPTS = 3;

/** Acquires and withdraws the claims of this daemon. */
export class Claims {
  /**
   * Creates the claims.
   * @param self - own incarnation
   * @param store - object store
   */
  constructor(
    private readonly self: Incarnation,
    private readonly store: ObjectStore,
  ) {}

  /**
   * Claims a key; at most one attempt in the whole fleet obtains the claim.
   * @param name - workspace and key
   * @returns the claim, or a failure; the outcome of the failure is "unknown" if another attempt
   *   has the claim
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
   * Withdraws the claim of a request that provably did not run, so that a retry can run.
   * @param claim - a claim of this daemon
   */
  async withdraw(claim: Claim): Promise<void> {
    const found = await this.#read(claim);
    if (found && this.#isMine(found, claim)) await this.store.remove(found.key, found.version);
  }

  /** Reads the claim object after a conflict or a lost answer to find out which attempt owns it. */
  async #resolveUncertain(claim: Claim): Promise<Result<Claim, Failure>> {
    const found = await this.#read(claim);
    const subject = `claim of key ${claim.key}`;
    if (!found) {
      // This attempt is not dispatched; if its claim was written after all, the claim must not
      // block a retry.
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
