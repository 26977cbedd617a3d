/** Era of the store: how often it has come back from an older copy. */

/** Distance of the versions of two eras: above every revision that a store gives out. */
const ERA_STRIDE = 2 ** 40;

/** Number of eras whose versions are exact numbers; the next one has the versions of the first again. */
const ERAS = 2 ** 13;

/**
 * Returns the revision behind a version, of whichever era.
 * @param version - the version
 * @returns the revision, as the store names it
 */
export function revisionIn(version: number): number {
  return version % ERA_STRIDE;
}

/** A rise of the era: the store has forgotten its last writes, and gives out their revisions again. */
export interface EraRise {
  /** Era in which the store answered last. */
  readonly before: number;
  /** Era in which it answers now. */
  readonly current: number;
}

/** What a stated era is to the one known so far. */
export type EraSighting = 'first' | 'same' | 'risen' | 'former';

/**
 * The era as one process has seen it. It also keeps the revisions of different eras apart: a version is a revision
 * together with the era in which it was read, as one number that increases over a rise and is the same at every daemon.
 * With a store that states no era, versions and revisions are the same.
 */
export class StoreEra {
  readonly #listeners = new Set<(rise: EraRise) => void>();

  #current: number | undefined;

  #rises = 0;

  /** Era that the store stated last; undefined if it states none. */
  get current(): number | undefined {
    return this.#current;
  }

  /** Number of rises that this process has seen. */
  get rises(): number {
    return this.#rises;
  }

  /**
   * Takes the era of an answer, before the answer is used. A rise is reported to the listeners before this returns.
   * @param era - the stated era
   * @returns what it is to the one known so far; an answer of a former era says nothing about the store now
   */
  observe(era: number): EraSighting {
    const before = this.#current;
    if (before === era) return 'same';
    if (before !== undefined && era < before) return 'former';
    this.#current = era;
    if (before === undefined) return 'first';
    this.#rises += 1;
    this.#listeners.forEach((listener) => listener({ before, current: era }));
    return 'risen';
  }

  /**
   * Registers a listener for rises. The first era that is seen is not a rise.
   * @param listener - called at once with each rise; must not throw
   * @returns removes the listener
   */
  onRise(listener: (rise: EraRise) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /**
   * Returns the version of a revision.
   * @param revision - revision in the store, below 2^40
   * @param era - era of the answer that stated it; the current one by default
   * @returns the version; it is above all versions of former eras
   */
  versionOf(revision: number, era = this.#current): number {
    return ((era ?? 0) % ERAS) * ERA_STRIDE + revision;
  }

  /**
   * Returns the revision behind a version of the current era.
   * @param version - result of "versionOf", or 0
   * @returns the revision; 0 for 0, in any era; undefined if the version is of a former era
   */
  revisionOf(version: number): number | undefined {
    const revision = revisionIn(version);
    return version === 0 || this.versionOf(revision) === version ? revision : undefined;
  }
}
