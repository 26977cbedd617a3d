/** Which other daemons can be reached, and which daemon is asked for permits. */
import type { StewardRole } from '../route/index.js';

/** Time for which the daemons before a successor must have been unreachable, in milliseconds. */
const SUCCESSION_MS = 5_000;

/** Time for which contact with another daemon shows that this one is not cut off, in milliseconds. */
const CONTACT_MS = 5_000;

/** Least interval between two probes of a daemon, in milliseconds. */
const PROBE_INTERVAL_MS = 1_000;

/** Age from which contact is renewed before a decision that depends on it, in milliseconds. */
const RENEWAL_MS = 4_000;

/** Number of daemons after this one that it probes to find out whether it is cut off. */
const LATER_PROBES = 2;

interface Reach {
  /** When the first of the latest failures was noticed, in milliseconds; undefined after a success. */
  readonly failedSince: number | undefined;
  readonly probedAt: number;
}

const UNKNOWN: Reach = { failedSince: undefined, probedAt: Number.NEGATIVE_INFINITY };

/** Remembers the failures of requests to other daemons. */
export class PeerReach {
  readonly #peers = new Map<string, Reach>();

  #reachedAt = Number.NEGATIVE_INFINITY;

  #askedAt = Number.NEGATIVE_INFINITY;

  /**
   * Records that a daemon has replied.
   * @param name - the daemon
   * @param now - current time, in milliseconds
   */
  noteReply(name: string, now: number): void {
    this.#reachedAt = now;
    this.#peers.set(name, { failedSince: undefined, probedAt: now });
  }

  /**
   * Records that a daemon has not replied in time.
   * @param name - the daemon
   * @param now - current time, in milliseconds
   */
  noteFailure(name: string, now: number): void {
    const { failedSince = now } = this.#peers.get(name) ?? UNKNOWN;
    this.#peers.set(name, { failedSince, probedAt: now });
  }

  /**
   * Records that another daemon has asked this one for a permit.
   * @param now - current time, in milliseconds
   */
  noteAsked(now: number): void {
    this.#askedAt = now;
  }

  /**
   * Checks whether a daemon may be asked.
   * @param name - the daemon
   * @returns whether it has replied last, or has not been asked yet
   */
  isReachable(name: string): boolean {
    return this.#peers.get(name)?.failedSince === undefined;
  }

  /**
   * Chooses the daemon that is asked for a permit.
   * @param ranking - names of all daemons, the preferred steward first
   * @param own - name of this daemon
   * @returns the first daemon that can be reached, possibly this one
   */
  stewardOf(ranking: readonly string[], own: string): string {
    return ranking.find((name) => name === own || this.isReachable(name)) ?? own;
  }

  /**
   * Determines the role in which this daemon grants permits.
   * @param ranking - names of all daemons, the preferred steward first
   * @param own - name of this daemon
   * @param now - current time, in milliseconds
   * @param isCold - whether the upstream is cold: then the first daemon, too, counts as alone without contact
   * @returns its role
   */
  roleOf(ranking: readonly string[], own: string, now: number, isCold = false): StewardRole {
    const before = ranking.slice(0, Math.max(0, ranking.indexOf(own)));
    const isAsked = now - this.#askedAt < CONTACT_MS;
    const hasContact = isAsked || now - this.#reachedAt < CONTACT_MS;
    if (before.length === 0) return isCold && ranking.length > 1 && !hasContact ? 'alone' : 'first';
    const areUnreachable = before.every(
      (name) => now - (this.#peers.get(name)?.failedSince ?? now) >= SUCCESSION_MS,
    );
    if (areUnreachable) return hasContact ? 'successor' : 'alone';
    if (before.length === 1) return 'second';
    // Were it cut off, so might be all the others, each with permits of its own.
    return isAsked ? 'later' : 'alone';
  }

  /**
   * Lists the daemons with which the first one should renew contact before it decides, and counts them as probed.
   * @param ranking - names of all daemons, the preferred steward first
   * @param own - name of this daemon
   * @param now - current time, in milliseconds
   * @returns the next daemons after this one; none unless it is the first and contact is old
   */
  takeRenewals(ranking: readonly string[], own: string, now: number): readonly string[] {
    if (ranking[0] !== own || now - Math.max(this.#reachedAt, this.#askedAt) < RENEWAL_MS)
      return [];
    return this.#takeDue(ranking.slice(1, 1 + LATER_PROBES), now);
  }

  /**
   * Lists the daemons that should be probed now, and counts them as probed.
   * @param ranking - names of all daemons, the preferred steward first
   * @param own - name of this daemon
   * @param now - current time, in milliseconds
   * @returns the daemons before the one that is asked; if that is this one, also the next ones after it
   */
  takeProbes(ranking: readonly string[], own: string, now: number): readonly string[] {
    const steward = ranking.indexOf(this.stewardOf(ranking, own));
    const isOwn = ranking[steward] === own;
    const end = steward === 0 ? 0 : steward + (isOwn ? 1 + LATER_PROBES : 0);
    const probed = ranking.slice(0, end).filter((name) => name !== own);
    return this.#takeDue(probed, now);
  }

  #takeDue(names: readonly string[], now: number): readonly string[] {
    const due = names.filter(
      (name) => now - (this.#peers.get(name) ?? UNKNOWN).probedAt >= PROBE_INTERVAL_MS,
    );
    due.forEach((name) => {
      this.#peers.set(name, { ...(this.#peers.get(name) ?? UNKNOWN), probedAt: now });
    });
    return due;
  }
}
