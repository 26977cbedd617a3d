/** Secret of the links between daemons; the first daemon of a fleet creates it in the store. */
import { randomBytes } from 'node:crypto';

import { SharedValue } from './sharedvalue.js';

import type { Clock } from '../kernel/index.js';
import type { SnapshotStore, StoreEra } from '../store/index.js';
import type { Recorder } from '../telemetry/index.js';

/** Key of the object that stores the secret. */
const OBJECT_KEY = 'fleet/key';

/** Length of the secret, in random bytes. */
const SECRET_BYTES = 24;

/** Least interval between two comparisons after refused links, in milliseconds: bounds the calls. */
const CHECK_INTERVAL_MS = 1_000;

/** Era at the end of a secret that was created in it; one that states none is older. */
const ERA_SUFFIX = /\.(\d+)$/;

function eraOf(secret: string): number {
  return Number(ERA_SUFFIX.exec(secret)?.[1] ?? -1);
}

/**
 * Proposes a secret. It ends with the era in which it is created: if a daemon finds none because the store has lost it,
 * the one that the others use is the older one.
 */
function newSecret({ current }: StoreEra): string {
  const secret = randomBytes(SECRET_BYTES).toString('hex');
  return current === undefined ? secret : `${secret}.${current}`;
}

/**
 * Decides which of two secrets a fleet uses that has lost the first one.
 * @param secret - a secret
 * @param other - another one
 * @returns whether the first is older; between two of one era, any order that is the same at every daemon
 */
export function goesBefore(secret: string, other: string): boolean {
  return eraOf(secret) === eraOf(other) ? secret < other : eraOf(secret) < eraOf(other);
}

/** The secret as this daemon uses it. */
export class FleetKey {
  #nextCheckAt = 0;

  private constructor(
    private readonly shared: SharedValue<string>,
    private readonly era: StoreEra,
    private readonly clock: Clock,
  ) {}

  /**
   * Reads or creates the secret.
   * @param store - the store
   * @param recorder - log and timeline
   * @param clock - time
   * @returns the secret, as soon as the store has returned or accepted one
   */
  static async join(store: SnapshotStore, recorder: Recorder, clock: Clock): Promise<FleetKey> {
    const kind = {
      key: OBJECT_KEY,
      isValid: (value: unknown): value is string => typeof value === 'string',
      propose: () => newSecret(store.era),
      goesBefore,
    };
    return new FleetKey(await SharedValue.join(store, kind, recorder), store.era, clock);
  }

  /** The secret. */
  get current(): string {
    return this.shared.current;
  }

  /** Compares the secret with the stored one after a refused link, if the store can have lost and replaced it. */
  check(): void {
    const now = this.clock.now();
    if (this.era.current === undefined || now < this.#nextCheckAt) return;
    this.#nextCheckAt = now + CHECK_INTERVAL_MS;
    void this.shared.compare();
  }

  /** Stops comparing. */
  stop(): void {
    this.shared.stop();
  }
}
