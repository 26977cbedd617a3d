/** Data centres whose upstreams must receive nothing, as far as this daemon knows. */

/**
 * Time for which an evacuation stays in force that a listing of an older revision lacks, in milliseconds. A store that
 * came back from a copy lacks what the operator wrote after the copy was made, until the operator has written it again.
 */
const REWRITE_GRACE_MS = 5_000;

/** The evacuations at one revision of the store. */
export interface EvacuationReport {
  readonly revision: number;
  /** Names of the evacuated data centres. */
  readonly dataCentres: readonly string[];
}

/** Beginning or end of the evacuation of a data centre. */
export interface EvacuationChange {
  readonly dataCentre: string;
  readonly isEvacuated: boolean;
}

/**
 * Merges what the store and other daemons report about evacuations. A report contains all evacuations at its revision, so
 * the one with the highest revision applies as a whole.
 */
export class Evacuations {
  #revision: number | undefined;

  /** Time until which each evacuation is in force, in milliseconds; infinity until it is taken back. */
  #inForceUntil = new Map<string, number>();

  /** Whether the evacuations have been read from the store or from another daemon. */
  get isKnown(): boolean {
    return this.#revision !== undefined;
  }

  /**
   * Checks whether a data centre is evacuated.
   * @param dataCentre - its name
   * @param now - current time, in milliseconds
   * @returns whether its upstreams may receive no requests
   */
  has(dataCentre: string, now: number): boolean {
    return (this.#inForceUntil.get(dataCentre) ?? 0) > now;
  }

  /**
   * Lists the evacuated data centres.
   * @param now - current time, in milliseconds
   * @returns their names, in order
   */
  dataCentres(now: number): readonly string[] {
    return [...this.#inForceUntil.keys()].filter((name) => this.has(name, now)).sort();
  }

  /**
   * Returns what other daemons are told.
   * @param now - current time, in milliseconds
   * @returns the evacuations; undefined before they are known
   */
  report(now: number): EvacuationReport | undefined {
    const revision = this.#revision;
    return revision === undefined ? undefined : { revision, dataCentres: this.dataCentres(now) };
  }

  /**
   * Applies a complete listing of the store. One that is older than what is known either was overtaken by the report of
   * another daemon, or the store came back from a copy: evacuations that it lacks stay in force for a while.
   * @param listing - the listing
   * @param now - current time, in milliseconds
   */
  applyListing({ revision, dataCentres }: EvacuationReport, now: number): void {
    const isOlder = this.#revision !== undefined && revision < this.#revision;
    const missing = isOlder
      ? this.dataCentres(now).filter((name) => !dataCentres.includes(name))
      : [];
    const missingUntil = now + REWRITE_GRACE_MS;
    this.#revision = revision;
    this.#inForceUntil = new Map([
      ...missing.map((name) => [name, Math.min(this.#until(name), missingUntil)] as const),
      ...dataCentres.map((name) => [name, Number.POSITIVE_INFINITY] as const),
    ]);
  }

  /**
   * Applies changes that a watch of the store has returned. Changes that a report of another daemon already included
   * are ignored.
   * @param changes - the changes, in order
   * @param revision - revision of the store after them
   */
  applyChanges(changes: readonly EvacuationChange[], revision: number): void {
    if (this.#revision !== undefined && revision < this.#revision) return;
    this.#revision = revision;
    changes.forEach(({ dataCentre, isEvacuated }) => {
      if (isEvacuated) this.#inForceUntil.set(dataCentre, Number.POSITIVE_INFINITY);
      else this.#inForceUntil.delete(dataCentre);
    });
  }

  /**
   * Applies the report of another daemon if it is newer.
   * @param report - the report
   * @returns whether it was newer than what was known
   */
  applyReport({ revision, dataCentres }: EvacuationReport): boolean {
    if (this.#revision !== undefined && revision <= this.#revision) return false;
    this.#revision = revision;
    this.#inForceUntil = new Map(dataCentres.map((name) => [name, Number.POSITIVE_INFINITY]));
    return true;
  }

  #until(dataCentre: string): number {
    return this.#inForceUntil.get(dataCentre) ?? 0;
  }
}
