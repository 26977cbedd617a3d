/** Data centres whose upstreams must receive nothing, as far as this daemon knows. */
import type { AwaitedEvacuation } from './startnews.js';

/**
 * Time for which an evacuation stays in force that a listing of another era lacks, in milliseconds. A store that came back
 * from a copy lacks what the operator wrote after the copy was made, until the operator has written it again.
 */
const REWRITE_GRACE_MS = 5_000;

/** A point in the history of the store. */
export interface StorePoint {
  /** Era of the store; 0 if it states none. */
  readonly era: number;
  readonly revision: number;
}

/** The evacuations at one point. */
export interface EvacuationReport extends StorePoint {
  /** Names of the evacuated data centres. */
  readonly dataCentres: readonly string[];
}

/** Beginning or end of the evacuation of a data centre. */
export interface EvacuationChange {
  readonly dataCentre: string;
  readonly isEvacuated: boolean;
}

/** Whether a point is before another one; an era that rose comes after all revisions of the former one. */
function isBefore(point: StorePoint, other: StorePoint): boolean {
  return point.era === other.era ? point.revision < other.revision : point.era < other.era;
}

/**
 * Merges what the store and other daemons report about evacuations. A report contains all evacuations at its point, so the
 * latest one applies as a whole.
 */
export class Evacuations {
  #known: StorePoint | undefined;

  /** Time until which each evacuation is in force, in milliseconds; infinity for one that the store lists. */
  readonly #inForceUntil = new Map<string, number>();

  /** Whether the evacuations have been read from the store or from another daemon. */
  get isKnown(): boolean {
    return this.#known !== undefined;
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
   * Lists the evacuations that the store lacks, and that are in force until the operator has had time to write them again.
   * @param now - current time, in milliseconds
   * @returns each with the time for which it is still in force
   */
  awaited(now: number): readonly AwaitedEvacuation[] {
    return [...this.#inForceUntil]
      .filter(([, until]) => until > now && Number.isFinite(until))
      .map(([dataCentre, until]) => ({ dataCentre, leftMs: until - now }));
  }

  /**
   * Takes over evacuations that the store lacks, from a daemon that knew them before.
   * @param awaited - the evacuations
   * @param now - current time, in milliseconds
   */
  await(awaited: readonly AwaitedEvacuation[], now: number): void {
    awaited.forEach(({ dataCentre, leftMs }) => {
      const until = now + Math.min(leftMs, REWRITE_GRACE_MS);
      if ((this.#inForceUntil.get(dataCentre) ?? 0) < until) {
        this.#inForceUntil.set(dataCentre, until);
      }
    });
  }

  /** What other daemons are told: the evacuations that the store lists; undefined before they are known. */
  get report(): EvacuationReport | undefined {
    const listed = this.dataCentres(Number.MAX_VALUE);
    return this.#known && { ...this.#known, dataCentres: listed };
  }

  /**
   * Applies a complete listing of the store, also one that the report of another daemon has overtaken.
   * @param listing - the listing
   * @param now - current time, in milliseconds
   */
  applyListing(listing: EvacuationReport, now: number): void {
    const known = this.#known;
    const mayLack = known !== undefined && (known.era !== listing.era || isBefore(listing, known));
    this.#replace(listing, mayLack, now);
  }

  /**
   * Applies changes that a watch of the store has returned. Changes that a report of another daemon already included
   * are ignored.
   * @param changes - the changes, in order
   * @param point - point in the history of the store after them
   */
  applyChanges(changes: readonly EvacuationChange[], { era, revision }: StorePoint): void {
    if (this.#known && isBefore({ era, revision }, this.#known)) return;
    this.#known = { era, revision };
    changes.forEach(({ dataCentre, isEvacuated }) => {
      if (isEvacuated) this.#inForceUntil.set(dataCentre, Number.POSITIVE_INFINITY);
      else this.#inForceUntil.delete(dataCentre);
    });
  }

  /**
   * Applies the report of another daemon if it is newer.
   * @param report - the report
   * @param now - current time, in milliseconds
   */
  applyReport(report: EvacuationReport, now: number): void {
    const known = this.#known;
    if (known && !isBefore(known, report)) return;
    this.#replace(report, known !== undefined && known.era !== report.era, now);
  }

  /**
   * Replaces what is known. Evacuations that are missing end at once, or after a grace period if the report may lack them;
   * those in a grace period keep it.
   */
  #replace({ era, revision, dataCentres }: EvacuationReport, mayLack: boolean, now: number): void {
    this.#known = { era, revision };
    this.#inForceUntil.forEach((until, name) => {
      if (Number.isFinite(until)) return;
      if (mayLack) this.#inForceUntil.set(name, now + REWRITE_GRACE_MS);
      else this.#inForceUntil.delete(name);
    });
    dataCentres.forEach((name) => this.#inForceUntil.set(name, Number.POSITIVE_INFINITY));
  }
}
