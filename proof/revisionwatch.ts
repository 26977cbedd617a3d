/** Watches from outside which revision each daemon has in force. */
import { setTimeout as delay } from 'node:timers/promises';

import { request } from 'undici';

import { OPERATOR_KEY } from '../testbed/daemonprocess.js';
import { ensure } from './proof.js';

import type { DaemonProcess } from '../testbed/daemonprocess.js';

/** Interval between the questions to one daemon, in milliseconds. */
const POLL_MS = 25;

/** Longest wait for an answer, in milliseconds: a frozen daemon gives none. */
const TIMEOUT_MS = 300;

/** One daemon under watch. */
interface Watched {
  readonly daemon: DaemonProcess;
  revision: number;
  /** When an answer last came, in milliseconds since the epoch. */
  seenAt: number;
}

/** Asks every daemon again and again; its revision may only rise. */
export class RevisionWatch {
  readonly #watched = new Map<string, Watched>();

  readonly #violations: string[] = [];

  #answers = 0;

  #stopped = false;

  /** Number of answers that were checked. */
  get answers(): number {
    return this.#answers;
  }

  /**
   * Begins to watch a daemon, also one that replaces another under the same name.
   * @param daemon - the daemon process
   */
  add(daemon: DaemonProcess): void {
    const watched: Watched = { daemon, revision: 0, seenAt: 0 };
    this.#watched.set(daemon.options.name, watched);
    void this.#poll(watched);
  }

  /**
   * Gives the revision that a daemon last reported.
   * @param name - instance name
   * @returns the revision; 0 before the first answer
   */
  revisionOf(name: string): number {
    return this.#watched.get(name)?.revision ?? 0;
  }

  /**
   * Waits until daemons report a revision.
   * @param names - instance names
   * @param revision - revision, or a later one
   * @param limitMs - longest wait in milliseconds
   * @param what - situation, for the error
   * @returns how long it took in milliseconds
   */
  async inForce(
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
      await delay(POLL_MS);
    }
    return Date.now() - began;
  }

  /** Checks that no daemon ever reported a lower revision than before. */
  check(): void {
    ensure(this.#violations.length === 0, this.#violations.join('; '));
  }

  /** Ends the watch. */
  stop(): void {
    this.#stopped = true;
  }

  async #poll(watched: Watched): Promise<void> {
    const { daemon } = watched;
    const { name } = daemon.options;
    const state = watched;
    while (!this.#stopped && this.#watched.get(name) === watched) {
      // One question follows the other.
      /* eslint-disable no-await-in-loop */
      const revision = await RevisionWatch.#ask(daemon).catch(() => undefined);
      if (revision !== undefined) {
        this.#answers += 1;
        if (revision < state.revision) {
          this.#violations.push(`${name} went back from revision ${state.revision} to ${revision}`);
        }
        state.revision = revision;
        state.seenAt = Date.now();
      }
      await delay(POLL_MS);
      /* eslint-enable no-await-in-loop */
    }
  }

  static async #ask(daemon: DaemonProcess): Promise<number> {
    const res = await request(`${daemon.url}/operator/status`, {
      headers: { authorization: `Bearer ${OPERATOR_KEY}` },
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    const { revision } = (await res.body.json()) as { readonly revision: number };
    return revision;
  }
}
