/** Polls the operator interface of each daemon for the revision that it has in force. */
import { setTimeout as delay } from 'node:timers/promises';

import { request } from 'undici';

import { OPERATOR_KEY } from '../testbed/daemonprocess.js';
import { ensure } from './proof.js';

import type { StatusView } from '../src/daemon/operators.controller.js';
import type { DaemonProcess } from '../testbed/daemonprocess.js';

/** Interval between polls of one daemon, in milliseconds. */
const POLL_INTERVAL_MS = 25;

/** Timeout of one poll, in milliseconds; a suspended daemon does not answer. */
const ANSWER_TIMEOUT_MS = 300;

/** Tolerance for ages rounded to whole milliseconds and for clock reads at different times. */
const CLOCK_TOLERANCE_MS = 2;

/** A polled daemon with the revision that it last reported. */
interface WatchedDaemon {
  readonly daemon: DaemonProcess;
  revision: number;
}

/** Part of a daemon's status that concerns its configuration. */
type Report = Pick<StatusView, 'revision' | 'confirmedAgeMs'>;

/** Polls every daemon and records a violation if its revision decreases or is stale. */
export class RevisionWatch {
  readonly #watched = new Map<string, WatchedDaemon>();

  readonly #violations: string[] = [];

  /** Accepted revisions with the time when this was known, in milliseconds since the epoch. */
  readonly #accepted: { readonly revision: number; readonly at: number }[] = [];

  #answers = 0;

  #stopped = false;

  /** Number of answers that were checked. */
  get answers(): number {
    return this.#answers;
  }

  /**
   * Starts polling a daemon; replaces an earlier daemon of the same name.
   * @param daemon - the daemon process
   */
  add(daemon: DaemonProcess): void {
    const watched: WatchedDaemon = { daemon, revision: 0 };
    this.#watched.set(daemon.options.name, watched);
    void this.#poll(watched);
  }

  /**
   * Records a revision that the store has accepted by now.
   * @param revision - the revision
   */
  recordAccepted(revision: number): void {
    this.#accepted.push({ revision, at: Date.now() });
  }

  /**
   * Returns the revision that a daemon last reported.
   * @param name - instance name
   * @returns the revision; 0 before the first answer
   */
  revisionOf(name: string): number {
    return this.#watched.get(name)?.revision ?? 0;
  }

  /**
   * Waits until daemons report a revision or a later one.
   * @param names - instance names
   * @param revision - revision to wait for
   * @param limitMs - maximum wait in milliseconds
   * @param what - situation, for the error
   * @returns how long it took in milliseconds
   */
  async waitInForce(
    names: readonly string[],
    revision: number,
    limitMs: number,
    what: string,
  ): Promise<number> {
    const began = Date.now();
    const behind = (): readonly string[] =>
      names.filter((name) => this.revisionOf(name) < revision);
    while (behind().length > 0) {
      const seen = behind().map((name) => `${name} has ${this.revisionOf(name)}`);
      ensure(
        Date.now() - began < limitMs,
        `revision ${revision} is not in force within ${limitMs} ms ${what}: ${seen.join(', ')}`,
      );
      // eslint-disable-next-line no-await-in-loop
      await delay(POLL_INTERVAL_MS);
    }
    return Date.now() - began;
  }

  /**
   * Checks that no daemon reported a lower revision than before, and that none reported a revision
   * as confirmed by the store after a later one had been accepted.
   * @throws Error that lists the violations
   */
  check(): void {
    ensure(this.#violations.length === 0, this.#violations.join('; '));
  }

  /** Stops polling. */
  stop(): void {
    this.#stopped = true;
  }

  async #poll(watched: WatchedDaemon): Promise<void> {
    const { daemon } = watched;
    const { name } = daemon.options;
    const state = watched;
    while (!this.#stopped && this.#watched.get(name) === watched) {
      // Polls of one daemon run sequentially.
      /* eslint-disable no-await-in-loop */
      const asked = Date.now();
      const report = await RevisionWatch.#ask(daemon).catch(() => undefined);
      if (report) {
        this.#answers += 1;
        this.#checkReport(state, report, asked);
        state.revision = report.revision;
      }
      await delay(POLL_INTERVAL_MS);
      /* eslint-enable no-await-in-loop */
    }
  }

  #checkReport({ daemon, revision: last }: WatchedDaemon, report: Report, asked: number): void {
    const { name } = daemon.options;
    const { revision, confirmedAgeMs } = report;
    if (revision < last) {
      this.#violations.push(`${name} went back from revision ${last} to ${revision}`);
    }
    if (confirmedAgeMs < 0) return;
    const confirmedAt = asked - confirmedAgeMs - CLOCK_TOLERANCE_MS;
    const missed = this.#accepted.findLast(({ at }) => at < confirmedAt);
    if (missed && revision < missed.revision) {
      const text = `confirmed revision ${revision} after ${missed.revision} was accepted`;
      this.#violations.push(`${name} ${text}`);
    }
  }

  static async #ask(daemon: DaemonProcess): Promise<Report> {
    const res = await request(`${daemon.url}/operator/status`, {
      headers: { authorization: `Bearer ${OPERATOR_KEY}` },
      signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS),
    });
    return (await res.body.json()) as Report;
  }
}
