/** Confirms crashes of upstreams, shares them with the fleet and rejects requests on which upstreams crash. */
import { setImmediate as nextTurn } from 'node:timers/promises';

import { failure, polledDelay } from '../kernel/index.js';
import { CrashSuspects, decodeCrashRecord, encodeCrashRecord } from '../route/index.js';
import { Follower, updateObject } from '../store/index.js';
import { isListening } from './probe.js';

import type { Clock, Failure } from '../kernel/index.js';
import type { CrashRecord, Rejection, UnansweredPrompt } from '../route/index.js';
import type { ObjectChange, ObjectKind, SnapshotStore } from '../store/index.js';
import type { EventSubject, Recorder } from '../telemetry/index.js';
import type { GatewayMetrics } from './metrics.js';
import type { KnownUpstream } from './upstreampool.js';

/** Prefix and key of the object that holds what the fleet knows. */
const PREFIX = 'suspects/';
const KEY = `${PREFIX}parts`;

/** Longest time for which the store holds a watch, in milliseconds: a change ends it at once. */
const WATCH_TIMEOUT_MS = 20_000;

/** Pause of the watch after a change, in milliseconds: many daemons see a crash, and write one after the other. */
const BATCH_DELAY_MS = 200;

/** Time from the end of one connection until the others to a crashed upstream have ended too, in milliseconds. */
const CONFIRM_DELAY_MS = 50;

/** Time from a crash until it is shared, in milliseconds; most innocent parts are answered by then. */
const SHARE_DELAY_MS = 1_000;

/** Time after which a report that the store has not taken is offered again, in milliseconds. */
const SHARE_RETRY_MS = 5_000;

/** Longest random delay before the record of the fleet is corrected: one daemon then does it, in milliseconds. */
const CORRECTION_SPREAD_MS = 1_000;

/** Longest random delay before lost reports are written again: few daemons then do it, in milliseconds. */
const LOST_SPREAD_MS = 3_000;

/** Least interval between two claims of trials by this daemon, in milliseconds; requests wait for the claim. */
const CLAIM_INTERVAL_MS = 5_000;

/** Shortest retry delay that is sent to callers, in milliseconds. */
const MIN_RETRY_MS = 1_000;

/** Number of parts that a log line names, and of lines that are written when many parts change at once. */
const MAX_LOGGED_PARTS = 24;

type Facts = NonNullable<EventSubject['facts']>;

/** Dependencies of the watch. */
export interface CrashWatchConfig {
  readonly store: SnapshotStore;
  readonly recorder: Recorder;
  readonly metrics: GatewayMetrics;
  readonly clock: Clock;
  /** Random numbers in [0, 1). */
  readonly random: () => number;
}

/** Connections to an upstream that have ended, before it is known whether it has crashed. */
interface PendingCrash {
  readonly at: number;
  readonly prompts: UnansweredPrompt[];
  readonly confirmed: Promise<void>;
}

/**
 * Names parts in a log line or an error.
 * @param parts - keys of the parts
 * @returns the first of them, separated by spaces
 */
export function nameParts(parts: readonly string[]): string {
  return parts.slice(0, MAX_LOGGED_PARTS).join(' ');
}

/** Watches for prompt parts that crash upstreams. */
export class CrashWatch {
  readonly #suspects = new CrashSuspects();

  readonly #follower: Follower;

  readonly #pending = new Map<string, PendingCrash>();

  #rejections: ReadonlyMap<string, Rejection> = new Map();

  #isStopped = false;

  #releaseEra: () => void = () => undefined;

  #isSharing = false;

  #shareTimer: NodeJS.Timeout | undefined;

  /** Earliest time of the next claim of a trial, in milliseconds. */
  #nextClaimAt = 0;

  /** When the timer fires, in milliseconds. */
  #shareAt = Number.POSITIVE_INFINITY;

  /**
   * Creates the watch; nothing is read before "start".
   * @param cfg - dependencies
   */
  constructor(private readonly cfg: CrashWatchConfig) {
    // A watch returns each version since the last one.
    const newestOf = (objects: readonly ObjectChange[]): ObjectChange | undefined =>
      objects.filter(({ key }) => key === KEY).sort((a, b) => b.version - a.version)[0];
    this.#follower = new Follower(
      cfg.store,
      PREFIX,
      {
        onSnapshot: ({ objects }) => this.#applyShared(newestOf(objects)?.value ?? null),
        onChanges: (changes) => {
          const newest = newestOf(changes);
          if (newest) this.#applyShared(newest.value);
        },
        onLost: ({ text, problem }) =>
          cfg.recorder.record('storeLost', { detail: text, facts: { prefix: PREFIX, problem } }),
        onRegained: () => {
          cfg.recorder.record('storeRegained', { facts: { prefix: PREFIX } });
          this.#shareLater(0);
        },
        onHandlerError: (err) =>
          cfg.recorder.record('storeHandlerFailed', {
            detail: String(err),
            facts: { prefix: PREFIX },
          }),
      },
      cfg.clock,
      WATCH_TIMEOUT_MS,
      BATCH_DELAY_MS,
    );
  }

  /** Starts to follow the record of the fleet. */
  start(): void {
    const { store, clock, random } = this.cfg;
    this.#releaseEra = store.era.onRise(() => {
      this.#suspects.keepShared(clock.now());
      this.#shareLater(random() * LOST_SPREAD_MS);
    });
    void this.#follower.run();
  }

  /** Stops following and sharing. */
  stop(): void {
    this.#isStopped = true;
    this.#releaseEra();
    this.#follower.stop();
    clearTimeout(this.#shareTimer);
  }

  /**
   * Decides whether a request may be sent to an upstream now. Claims a trial in the store if one is due.
   * @param parts - keys of its shared prompt parts
   * @param request - its id, for the log
   * @returns why it is refused, undefined if it may be sent; at once unless a trial is due
   */
  admit(
    parts: readonly string[],
    request: string,
  ): Failure | undefined | Promise<Failure | undefined> {
    const verdict = this.#suspects.verdict(parts, this.cfg.clock.now());
    if (verdict.kind === 'send') return undefined;
    const isTrial = verdict.kind === 'trial' && this.cfg.clock.now() >= this.#nextClaimAt;
    return isTrial ? this.#claimTrial(parts, request) : this.#refusal(verdict.rejection);
  }

  /**
   * Decides whether a request may be sent, without claiming a trial.
   * @param parts - keys of its shared prompt parts
   * @returns why it is refused; undefined if it may be sent, possibly as a trial
   */
  rejectionOf(parts: readonly string[]): Failure | undefined {
    const verdict = this.#suspects.verdict(parts, this.cfg.clock.now());
    return verdict.kind === 'reject' ? this.#refusal(verdict.rejection) : undefined;
  }

  /**
   * Records that an upstream has begun to answer a request.
   * @param parts - keys of its shared prompt parts
   */
  noteAnswer(parts: readonly string[]): void {
    const isSuspected = parts.some((part) => this.#suspects.isSuspected(part));
    this.#suspects.noteAnswer(parts, this.cfg.clock.now());
    if (!isSuspected) return;
    this.#recordChanges('answered here');
    if (this.#suspects.contradictsShared)
      this.#shareLater(this.cfg.random() * CORRECTION_SPREAD_MS);
  }

  /**
   * Records that an upstream ended the connection of a request without an answer. It may have crashed.
   * @param upstream - the upstream
   * @param parts - keys of the shared prompt parts of the request
   * @param sentAt - when the request was sent, in milliseconds
   * @returns resolves once it is known whether the upstream has crashed; undefined if no part was suspected before
   */
  noteLost(
    upstream: KnownUpstream,
    parts: readonly string[],
    sentAt: number,
  ): Promise<void> | undefined {
    if (parts.length === 0) return undefined;
    const { id, startedAt, address } = upstream.record;
    const key = `${id} ${startedAt} ${address}`;
    const pending = this.#pending.get(key) ?? {
      at: this.cfg.clock.now(),
      prompts: [],
      confirmed: this.#confirm(key, upstream),
    };
    this.#pending.set(key, pending);
    pending.prompts.push({ parts, sentAt });
    return parts.some((part) => this.#suspects.isSuspected(part)) ? pending.confirmed : undefined;
  }

  /** Checks whether an upstream has crashed: no connection to it is left, and none can be opened. */
  async #confirm(key: string, { record, connections }: KnownUpstream): Promise<void> {
    await polledDelay(CONFIRM_DELAY_MS);
    // Sockets that were read to their end are reported as closed after immediates have run.
    await nextTurn();
    const isAlive = connections.open > 0 || (await isListening(record.address));
    const pending = this.#pending.get(key);
    this.#pending.delete(key);
    if (isAlive || !pending) return;
    const now = this.cfg.clock.now();
    const { at, prompts } = pending;
    this.#suspects.noteCrash(key, at, prompts, now);
    const parts = [...new Set(prompts.flatMap((prompt) => prompt.parts))];
    const suspected = parts.filter((part) => this.#suspects.isSuspected(part));
    this.cfg.metrics.suspects.inc({ change: 'crash' });
    this.cfg.recorder.record('upstreamCrashed', {
      upstream: record.id,
      facts: {
        unanswered: prompts.length,
        parts: parts.length,
        suspected: suspected.length,
        named: nameParts(suspected),
        ageMs: Math.round(now - at),
      },
    });
    const isDecisive = this.#recordChanges('crashed here');
    this.#shareLater(isDecisive ? 0 : SHARE_DELAY_MS * (0.8 + 0.4 * this.cfg.random()));
  }

  #refusal({ group, nextTrialAt }: Rejection): Failure {
    const retryAfterMs = Math.max(MIN_RETRY_MS, nextTrialAt - this.cfg.clock.now());
    return { ...failure('prompt-rejected', nameParts(group)), retryAfterMs };
  }

  #applyShared(value: unknown): void {
    const now = this.cfg.clock.now();
    this.#applyStored(value, now);
    const isDecisive = this.#recordChanges('reported by the fleet');
    // Other daemons may lack a crash that only this one has seen.
    if (isDecisive && this.#suspects.hasUnshared) this.#shareLater(0);
    if (this.#suspects.contradictsShared)
      this.#shareLater(this.cfg.random() * CORRECTION_SPREAD_MS);
  }

  /** Applies a stored value; the last valid one stays in force if it is malformed. */
  #applyStored(value: unknown, now: number): void {
    const decoded = decodeCrashRecord(value, now);
    if (decoded) this.#suspects.applyShared(decoded, now);
    else {
      const facts = { problem: 'malformed', outcome: 'the last valid record stays in force' };
      this.cfg.recorder.record('crashesDelayed', { detail: KEY, facts });
    }
  }

  /** Logs which rejections began and ended; returns whether one began. */
  #recordChanges(cause: string): boolean {
    const { rejections } = this.#suspects;
    const before = this.#rejections;
    if (rejections === before) return false;
    this.#rejections = rejections;
    const now = this.cfg.clock.now();
    const { metrics, recorder } = this.cfg;
    const factsOf = (rejection: Rejection): Facts => ({
      cause,
      group: nameParts(rejection.group),
      groupParts: rejection.group.length,
      crashes: rejection.crashes,
      upstreams: rejection.upstreams.length,
      lastCrashMs: Math.round(now - rejection.lastCrashAt),
      trials: rejection.trials,
      nextTrialMs: Math.round(rejection.nextTrialAt - now),
    });
    const begun = [...rejections].filter(([part]) => !before.has(part));
    const ended = [...before].filter(([part]) => !rejections.has(part));
    metrics.suspects.inc({ change: 'rejected' }, begun.length);
    metrics.suspects.inc({ change: 'cleared' }, ended.length);
    begun.slice(0, MAX_LOGGED_PARTS).forEach(([part, rejection]) => {
      recorder.record('partRejected', { detail: part, facts: factsOf(rejection) });
    });
    ended.slice(0, MAX_LOGGED_PARTS).forEach(([part, rejection]) => {
      recorder.record('partCleared', { detail: part, facts: factsOf(rejection) });
    });
    return begun.length > 0;
  }

  /** Shares own reports and corrections after a delay, or earlier if that was planned before. */
  #shareLater(delayMs: number): void {
    const at = this.cfg.clock.now() + delayMs;
    if (this.#isStopped || at >= this.#shareAt) return;
    clearTimeout(this.#shareTimer);
    this.#shareAt = at;
    this.#shareTimer = setTimeout(() => {
      this.#shareAt = Number.POSITIVE_INFINITY;
      void this.#share();
    }, delayMs);
  }

  async #share(): Promise<void> {
    const isNeeded = this.#suspects.hasUnshared || this.#suspects.contradictsShared;
    if (!isNeeded) return;
    if (this.#isSharing) {
      this.#shareLater(SHARE_DELAY_MS);
      return;
    }
    this.#isSharing = true;
    const isShared = await this.#update((now) => this.#suspects.recordToWrite(now));
    this.#isSharing = false;
    if (!isShared) this.#shareLater(SHARE_RETRY_MS);
  }

  /** Updates the record of the fleet; returns what was written, undefined if nothing was. */
  async #update(
    decide: (now: number) => CrashRecord | undefined,
  ): Promise<CrashRecord | undefined> {
    const { clock, recorder, store } = this.cfg;
    const kind: ObjectKind<unknown> = { key: KEY, parse: (value) => value };
    const result = await updateObject<unknown, CrashRecord | undefined>(store, kind, (stored) => {
      const now = clock.now();
      this.#applyStored(stored, now);
      const record = decide(now);
      if (!record) return { kind: 'keep', outcome: undefined };
      return { kind: 'write', value: encodeCrashRecord(record, now), outcome: record };
    });
    if (result.err) {
      const { text, problem } = result.val;
      recorder.record('crashesDelayed', { detail: text, facts: { problem } });
      return undefined;
    }
    const written = result.val;
    if (written) {
      this.#suspects.applyShared(written, clock.now());
      this.#suspects.noteShared(clock.now());
      const facts = { reports: written.reports.length, trials: written.trials.size };
      recorder.record('crashesShared', { facts });
    }
    this.#recordChanges('reported by the fleet');
    return written;
  }

  async #claimTrial(parts: readonly string[], request: string): Promise<Failure | undefined> {
    this.#nextClaimAt = Number.POSITIVE_INFINITY;
    const refusal = await this.#tryClaim(parts, request);
    this.#nextClaimAt = this.cfg.clock.now() + CLAIM_INTERVAL_MS;
    return refusal;
  }

  /** Claims the next trial of the rejected parts of a request; the request is refused if another daemon was first. */
  async #tryClaim(parts: readonly string[], request: string): Promise<Failure | undefined> {
    let rejection: Rejection | undefined;
    let isSound = false;
    const claimed = await this.#update((now) => {
      const verdict = this.#suspects.verdict(parts, now);
      isSound = verdict.kind === 'send';
      rejection = verdict.kind === 'send' ? undefined : verdict.rejection;
      if (verdict.kind !== 'trial') return undefined;
      return this.#suspects.recordToWrite(now, verdict.rejection.group);
    });
    if (isSound) return undefined;
    if (!claimed || !rejection)
      return { ...failure('prompt-rejected', nameParts(parts)), retryAfterMs: MIN_RETRY_MS };
    this.cfg.metrics.suspects.inc({ change: 'trial' });
    const facts = { crashes: rejection.crashes, trials: rejection.trials + 1 };
    this.cfg.recorder.record('partTrial', { request, detail: nameParts(rejection.group), facts });
    return undefined;
  }
}
