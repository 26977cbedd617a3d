/** Daemons that share crash reports, upstreams that crash on a prompt part, and callers, in simulated time. */
import { CrashSuspects, decodeCrashRecord, encodeCrashRecord } from '../src/route/index.js';
import { seededRandom } from './seed.js';

/** Time from a crash until the upstream is back, in milliseconds. */
const RESTART_MS = 3_100;

/** Bounds of the time from a request to the beginning of its answer, in milliseconds. */
const MIN_PREFILL_MS = 40;
const MAX_PREFILL_MS = 600;

/** Time that a daemon takes to confirm a crash, in milliseconds. */
const CONFIRM_MS = 52;

/** Bounds of the time from a write to the store until a daemon has read it, in milliseconds. */
const MIN_WATCH_MS = 10;
const MAX_WATCH_MS = 90;

/** Pause of a watch after a change, in milliseconds. */
const BATCH_MS = 200;

/** Mean time from a crash until it is shared, and longest delay of a correction, in milliseconds. */
const SHARE_MS = 1_000;
const CORRECTION_MS = 1_000;

/** Number of subjects of sound requests; some are as rare as one request in many seconds. */
const SUBJECTS = 87;

/** The part that crashes upstreams; all of its requests share a subject with sound ones. */
const DEADLY = 'dead';
const DEADLY_SUBJECT = 'subject3';

/** When requests with the deadly part begin, in milliseconds. */
const DEADLY_FROM_MS = 5_000;

/** Options of a simulation. */
export interface CrashFleetConfig {
  readonly daemons: number;
  readonly upstreams: number;
  /** Requests a second at all daemons together. */
  readonly rate: number;
  /** Share of requests with the deadly part. */
  readonly deadlyShare: number;
  /** Time in which requests are sent, in milliseconds. */
  readonly forMs: number;
  readonly seed: number;
  /** Times at which a share of the upstreams crashes, whatever is sent to them, in milliseconds. */
  readonly plainCrashes?: { readonly at: readonly number[]; readonly share: number };
  /** When the store cannot be reached, in milliseconds. */
  readonly storeAway?: { readonly from: number; readonly to: number };
  /** Number of parts that all prompts begin with, and of those that each prompt alone has; none if left out. */
  readonly extraParts?: number;
  /** Times at which all daemons start again, in milliseconds. */
  readonly restarts?: readonly number[];
}

/** A sound request, and how its only attempt ended. */
interface SoundRequest {
  readonly at: number;
  readonly end: 'answered' | 'lost' | 'rejected';
}

/** What happened; times in milliseconds. */
export interface CrashFleetResult {
  /** Crashes on the deadly part. */
  readonly crashes: readonly number[];
  /** Sends of the deadly part. */
  readonly deadlySends: readonly number[];
  readonly sound: readonly SoundRequest[];
  /** Writes to the store. */
  readonly writes: readonly number[];
}

interface Request {
  readonly daemon: number;
  readonly parts: readonly string[];
  readonly sentAt: number;
}

interface Upstream {
  readonly name: string;
  /** Number of its restarts. */
  incarnation: number;
  isUp: boolean;
  readonly open: Set<Request>;
}

/** One simulation, which advances millisecond by millisecond. */
export class CrashFleet {
  readonly #due = new Map<number, (() => void)[]>();

  readonly #random: () => number;

  readonly #daemons: CrashSuspects[];

  /** When each daemon writes to the store next, in milliseconds. */
  readonly #shareAt = new Map<number, number>();

  readonly #upstreams: readonly Upstream[];

  /** Daemons that will read the record. */
  readonly #watching = new Set<number>();

  #stored: unknown = null;

  #now = 0;

  readonly #crashes: number[] = [];

  readonly #deadlySends: number[] = [];

  readonly #sound: SoundRequest[] = [];

  readonly #writes: number[] = [];

  readonly #common: readonly string[];

  #requests = 0;

  private constructor(private readonly cfg: CrashFleetConfig) {
    this.#common = Array.from({ length: cfg.extraParts ?? 0 }, (_none, at) => `common${at}`);
    this.#random = seededRandom(cfg.seed);
    this.#daemons = Array.from({ length: cfg.daemons }, () => new CrashSuspects());
    this.#upstreams = Array.from({ length: cfg.upstreams }, (_none, at) => ({
      name: `u${at}`,
      incarnation: 0,
      isUp: true,
      open: new Set<Request>(),
    }));
  }

  /**
   * Runs a simulation.
   * @param cfg - options
   * @returns what happened
   */
  static run(cfg: CrashFleetConfig): CrashFleetResult {
    const fleet = new CrashFleet(cfg);
    const { at = [], share = 0 } = cfg.plainCrashes ?? {};
    at.forEach((time) => fleet.#at(time, () => fleet.#crashShare(share)));
    (cfg.restarts ?? []).forEach((time) => fleet.#at(time, () => fleet.#restartDaemons()));
    for (; fleet.#now < cfg.forMs; fleet.#now += 1) {
      (fleet.#due.get(fleet.#now) ?? []).forEach((run) => run());
      fleet.#due.delete(fleet.#now);
      const arrivals = cfg.rate / 1_000;
      const count = Math.floor(arrivals) + (fleet.#random() < arrivals % 1 ? 1 : 0);
      Array.from({ length: count }).forEach(() => fleet.#arrive());
    }
    return {
      crashes: fleet.#crashes,
      deadlySends: fleet.#deadlySends,
      sound: fleet.#sound,
      writes: fleet.#writes,
    };
  }

  #at(time: number, run: () => void): void {
    const at = Math.max(this.#now + 1, Math.round(time));
    const due = this.#due.get(at) ?? [];
    due.push(run);
    this.#due.set(at, due);
  }

  #between(min: number, max: number): number {
    return min + (max - min) * this.#random();
  }

  /** Parts that no other request has. */
  #ownParts(): readonly string[] {
    this.#requests += 1;
    const { length } = this.#common;
    return Array.from({ length }, (_none, at) => `own${this.#requests}-${at}`);
  }

  #arrive(): void {
    const isDeadly = this.#now > DEADLY_FROM_MS && this.#random() < this.cfg.deadlyShare;
    const subject = Math.floor(SUBJECTS * this.#random() ** 1.5);
    const parts = [
      ...this.#common,
      ...(isDeadly ? ['system', DEADLY_SUBJECT, DEADLY] : ['system', `subject${subject}`]),
      ...this.#ownParts(),
    ];
    const daemon = Math.floor(this.#random() * this.cfg.daemons);
    const verdict = this.#daemons[daemon]?.verdict(parts, this.#now);
    const isSent =
      verdict?.kind === 'send' || (verdict?.kind === 'trial' && this.#claim(daemon, parts));
    const up = this.#upstreams.filter(({ isUp }) => isUp);
    const upstream = up[Math.floor(this.#random() * up.length)];
    if (!isSent || !upstream) {
      if (!isDeadly) this.#sound.push({ at: this.#now, end: isSent ? 'lost' : 'rejected' });
      return;
    }
    if (isDeadly) this.#deadlySends.push(this.#now);
    const request = { daemon, parts, sentAt: this.#now };
    upstream.open.add(request);
    this.#at(this.#now + this.#between(MIN_PREFILL_MS, MAX_PREFILL_MS), () =>
      this.#answer(upstream, request),
    );
  }

  #answer(upstream: Upstream, request: Request): void {
    if (!upstream.open.has(request)) return;
    if (request.parts.includes(DEADLY)) {
      this.#crashes.push(this.#now);
      this.#crash(upstream);
      return;
    }
    upstream.open.delete(request);
    this.#sound.push({ at: request.sentAt, end: 'answered' });
    const suspects = this.#daemons[request.daemon];
    const isSuspected = request.parts.some((part) => suspects?.isSuspected(part));
    suspects?.noteAnswer(request.parts, this.#now);
    if (isSuspected) this.#correct(request.daemon);
  }

  #crashShare(share: number): void {
    const count = Math.round(this.#upstreams.length * share);
    this.#upstreams.slice(0, count).forEach((upstream) => this.#crash(upstream));
  }

  #crash(crashed: Upstream): void {
    const upstream = crashed;
    const name = `${upstream.name}~${upstream.incarnation}`;
    const unanswered = [...upstream.open];
    const at = this.#now;
    upstream.open.clear();
    upstream.isUp = false;
    upstream.incarnation += 1;
    this.#at(at + RESTART_MS, () => {
      upstream.isUp = true;
    });
    unanswered
      .filter(({ parts }) => !parts.includes(DEADLY))
      .forEach(({ sentAt }) => this.#sound.push({ at: sentAt, end: 'lost' }));
    const daemons = new Set(unanswered.map(({ daemon }) => daemon));
    daemons.forEach((daemon) => {
      const prompts = unanswered.filter((request) => request.daemon === daemon);
      this.#at(at + CONFIRM_MS, () => {
        const suspects = this.#daemons[daemon];
        const before = suspects?.rejections.size ?? 0;
        suspects?.noteCrash(name, at, prompts, this.#now);
        const isDecisive = (suspects?.rejections.size ?? 0) > before;
        this.#shareIn(daemon, isDecisive ? 0 : this.#between(0.8, 1.2) * SHARE_MS);
      });
    });
  }

  #correct(daemon: number): void {
    if (this.#daemons[daemon]?.contradictsShared)
      this.#shareIn(daemon, this.#between(0, CORRECTION_MS));
  }

  #shareIn(daemon: number, delayMs: number): void {
    const at = this.#now + delayMs;
    if (at >= (this.#shareAt.get(daemon) ?? Number.POSITIVE_INFINITY)) return;
    this.#shareAt.set(daemon, at);
    this.#at(at, () => {
      this.#shareAt.delete(daemon);
      const suspects = this.#daemons[daemon];
      if (!suspects?.hasUnshared && !suspects?.contradictsShared) return;
      if (!this.#write(daemon, [])) this.#shareIn(daemon, SHARE_MS);
    });
  }

  get #isStoreAway(): boolean {
    const { from, to } = this.cfg.storeAway ?? { from: 0, to: 0 };
    return this.#now >= from && this.#now < to;
  }

  /** Reads, merges and writes the record; the other daemons read it a little later. */
  #write(daemon: number, tried: readonly string[]): boolean {
    const suspects = this.#daemons[daemon];
    if (this.#isStoreAway || !suspects) return false;
    this.#read(suspects);
    this.#writes.push(this.#now);
    this.#stored = encodeCrashRecord(suspects.recordToWrite(this.#now, tried), this.#now);
    this.#read(suspects);
    suspects.noteShared(this.#now);
    this.#daemons.forEach((_other, at) => this.#watch(at));
    return true;
  }

  /** Lets a daemon read the record a little later; changes that come in quick succession are read together. */
  #watch(daemon: number): void {
    if (this.#watching.has(daemon)) return;
    this.#watching.add(daemon);
    const delayMs = this.#between(MIN_WATCH_MS, MAX_WATCH_MS) + this.#between(0, BATCH_MS);
    this.#at(this.#now + delayMs, () => {
      this.#watching.delete(daemon);
      const suspects = this.#daemons[daemon];
      if (this.#isStoreAway || !suspects) return;
      this.#read(suspects);
      this.#correct(daemon);
    });
  }

  #read(suspects: CrashSuspects): void {
    const record = decodeCrashRecord(this.#stored, this.#now);
    if (record) suspects.applyShared(record, this.#now);
  }

  /** Claims a trial, unless another daemon was first. */
  #claim(daemon: number, parts: readonly string[]): boolean {
    const suspects = this.#daemons[daemon];
    if (this.#isStoreAway || !suspects) return false;
    this.#read(suspects);
    const verdict = suspects.verdict(parts, this.#now);
    if (verdict.kind !== 'trial') return verdict.kind === 'send';
    return this.#write(daemon, verdict.rejection.group);
  }

  #restartDaemons(): void {
    this.#daemons.forEach((_old, at) => {
      const suspects = new CrashSuspects();
      this.#daemons[at] = suspects;
      if (!this.#isStoreAway) this.#read(suspects);
    });
  }
}
