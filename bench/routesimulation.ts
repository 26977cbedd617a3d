/** Discrete-event simulation of entries and workers that use the product's route scheduler. */
import { RetryBudget, RouteScheduler, WorkspaceLimiter } from '../src/route/index.js';
import { EventHeap } from './eventheap.js';
import { WorkerModel, WORKER_SLOTS } from './routeworker.js';
import { NOISY_WORKSPACE, Workload } from './routeworkload.js';

import type { LoadBalancingPolicy, RouteCommand, RouteEvent, Ticket } from '../src/route/index.js';
import type { WorkerOutput } from './routeworker.js';
import type { Arrival } from './routeworkload.js';

/** Interval at which a silent worker is checked, in milliseconds. */
const SILENT_POLL_INTERVAL_MS = 500;

/** Delay of a load report, in milliseconds. */
const REPORT_DELAY_MS = 300;

/** One-way network delay between an entry and a worker, in milliseconds. */
const NETWORK_DELAY_MS = 1.5;

/** Time without a first token after which the router retries at another worker, in milliseconds. */
const FIRST_TOKEN_TIMEOUT_MS = 3_000;

/** Time without output after which the router ends a stream, in milliseconds. */
const SILENCE_TIMEOUT_MS = 5_000;

/** Maximum time of a request in the queue, in milliseconds. */
const QUEUE_TIMEOUT_MS = 2_000;

/** Time at the start in which caches fill and nothing is counted, in milliseconds. */
const WARM_UP_DURATION_MS = 20_000;

/** Maximum number of retries of a request. */
const MAX_RETRIES = 2;

/** Fault that is active in the second third of the counted time. */
export type FaultKind = 'none' | 'silent' | 'slow' | 'burst' | 'noisy';

/** Sizes, rate, fault and policy of a simulation. */
export interface SimulationOptions {
  readonly entries: number;
  readonly workers: number;
  readonly workspaces: number;
  readonly documentsPerWorkspace: number;
  /** Requests per second. */
  readonly rate: number;
  readonly seconds: number;
  /** Interval between the load reports of a worker, in milliseconds. */
  readonly reportMs: number;
  readonly fault: FaultKind;
  readonly random: () => number;
  readonly policy: (random: () => number) => LoadBalancingPolicy;
}

/** Results of a simulation. */
export interface SimulationResult {
  /** First-token delays in milliseconds, sorted; the fault `noisy` excludes its workspace. */
  readonly firstTokens: readonly number[];
  readonly hitShare: number;
  readonly largestToMean: number;
  readonly requests: number;
  /** Completed answers per second. */
  readonly finishedPerSecond: number;
  readonly refused: number;
  /** Refusals of workspaces other than the noisy one. */
  readonly refusedOthers: number;
  readonly retries: number;
  /** Requests that failed after all retries. */
  readonly lost: number;
  /** Streams that the router ended because their worker had fallen silent. */
  readonly interrupted: number;
}

/** State of a request that the router is handling. */
interface PendingRequest {
  readonly arrival: Arrival;
  readonly entry: number;
  readonly at: number;
  excluded: readonly string[];
  worker: number;
  /** Incremented at each dispatch and at each failure, so that outdated timeouts are ignored. */
  attempt: number;
  begun: boolean;
}

interface Entry {
  readonly scheduler: RouteScheduler;
  readonly retries: RetryBudget;
  readonly limiter: WorkspaceLimiter;
}

const PRIORITY_NUMBERS = { urgent: 0, normal: 1, bulk: 2 } as const;

/** A simulation of one fleet under one fault. */
export class Simulation {
  readonly #heap = new EventHeap();

  readonly #workers: readonly WorkerModel[];

  readonly #stepping: boolean[];

  readonly #entries: readonly Entry[];

  readonly #pending = new Map<number, PendingRequest>();

  readonly #workload: Workload;

  readonly #loadSums: number[];

  #loadSamples = 0;

  readonly #firstTokens: number[] = [];

  #now = 0;

  #requests = 0;

  #refused = 0;

  #refusedOthers = 0;

  #lost = 0;

  #finished = 0;

  #interrupted = 0;

  /**
   * Creates a simulation.
   * @param options - sizes, rate, fault and policy
   */
  constructor(private readonly options: SimulationOptions) {
    const { workers, entries, workspaces, documentsPerWorkspace, random, policy } = options;
    this.#workers = Array.from({ length: workers }, () => new WorkerModel());
    this.#stepping = this.#workers.map(() => false);
    this.#loadSums = this.#workers.map(() => 0);
    const documents = this.#workers.map((_, index) => ({
      name: String(index),
      state: 'serving' as const,
      concurrency: WORKER_SLOTS,
    }));
    this.#entries = Array.from({ length: entries }, () => {
      const retries = new RetryBudget();
      const scheduler = new RouteScheduler({
        policy: policy(random),
        retries,
        daemons: () => entries,
        random,
      });
      [...scheduler.handle({ type: 'workers', documents }, 0)].forEach(() => undefined);
      return { scheduler, retries, limiter: new WorkspaceLimiter() };
    });
    this.#workload = new Workload(workspaces, documentsPerWorkspace, random);
  }

  /**
   * Runs the simulation.
   * @returns the results
   */
  run(): SimulationResult {
    const endAt = WARM_UP_DURATION_MS + this.options.seconds * 1_000;
    this.#scheduleArrival(false);
    if (this.options.fault === 'noisy') this.#scheduleArrival(true);
    this.#workers.forEach((_, index) => {
      this.#at(this.options.random() * this.options.reportMs, () => this.#sampleLoad(index));
    });
    this.#at(50, () => this.#tick());
    this.#at(WARM_UP_DURATION_MS, () => this.#workers.forEach((worker) => worker.resetCounts()));
    for (let next = this.#heap.pop(); next && next.at < endAt; next = this.#heap.pop()) {
      this.#now = next.at;
      next.run();
    }
    return this.#result();
  }

  get #isFaultActive(): boolean {
    const part = ((this.#now - WARM_UP_DURATION_MS) / 1_000 / this.options.seconds) * 3;
    return part >= 1 && part < 2;
  }

  #at(delayMs: number, run: () => void): void {
    this.#heap.push({ at: this.#now + delayMs, run });
  }

  #scheduleArrival(isNoise: boolean): void {
    const { rate, fault, random } = this.options;
    const burst = fault === 'burst' && this.#isFaultActive;
    const perSecond = burst ? rate * 5 : rate;
    this.#at((-Math.log(1 - random()) / perSecond) * 1_000, () => {
      if (!isNoise || this.#isFaultActive) this.#arrive(this.#workload.next(isNoise));
      this.#scheduleArrival(isNoise);
    });
  }

  #arrive(arrival: Arrival): void {
    const entry = Math.floor(this.options.random() * this.#entries.length);
    const at = this.#now;
    const pending = { arrival, entry, at, excluded: [], worker: -1, attempt: 0, begun: false };
    this.#pending.set(arrival.id, pending);
    if (at >= WARM_UP_DURATION_MS) this.#requests += 1;
    this.#submit(pending);
  }

  #submit(pending: PendingRequest): void {
    const { arrival, entry, excluded } = pending;
    const { workspace, priority, digests, id } = arrival;
    const deadline = this.#now + QUEUE_TIMEOUT_MS;
    const isRetry = excluded.length > 0;
    const base = { id: String(id), workspace, priority, digests };
    const ticket: Ticket = { ...base, isRetry, excluded, deadline };
    this.#handle(entry, { type: 'submit', ticket });
  }

  #handle(entry: number, event: RouteEvent): void {
    const scheduler = this.#entries[entry]?.scheduler;
    if (!scheduler) return;
    for (const command of scheduler.handle(event, this.#now)) this.#perform(command);
  }

  #perform(command: RouteCommand): void {
    if (command.type === 'eject') return;
    const pending = this.#pending.get(Number(command.ticket.id));
    if (!pending) return;
    if (command.type === 'dispatch') {
      this.#dispatch(pending, Number(command.worker));
      return;
    }
    this.#pending.delete(pending.arrival.id);
    if (pending.at < WARM_UP_DURATION_MS) return;
    this.#refused += 1;
    if (pending.arrival.workspace !== NOISY_WORKSPACE) this.#refusedOthers += 1;
  }

  #dispatch(pending: PendingRequest, worker: number): void {
    const state = pending;
    state.worker = worker;
    state.attempt += 1;
    const { attempt } = state;
    const { id, digests, tailTokens, outputTokens, priority } = pending.arrival;
    const request = { id, digests, tailTokens, outputTokens, priority: PRIORITY_NUMBERS[priority] };
    this.#at(NETWORK_DELAY_MS, () => {
      this.#workers[worker]?.submit(request);
      this.#startStepping(worker);
    });
    const began = this.#now;
    this.#at(FIRST_TOKEN_TIMEOUT_MS, () => {
      if (!pending.begun && pending.attempt === attempt && this.#now - began > 0)
        this.#fail(pending);
    });
  }

  #fail(pending: PendingRequest): void {
    if (!this.#pending.has(pending.arrival.id)) return;
    const state = pending;
    const { worker, entry, attempt, excluded, arrival } = pending;
    this.#workers[worker]?.cancel(pending.arrival.id);
    this.#handle(entry, {
      type: 'end',
      worker: String(worker),
      workspace: arrival.workspace,
      failed: true,
    });
    state.excluded = [...excluded, String(worker)];
    state.worker = -1;
    state.attempt += 1;
    if (attempt <= MAX_RETRIES * 2) this.#submit(pending);
    else {
      this.#pending.delete(pending.arrival.id);
      this.#lost += 1;
    }
  }

  #startStepping(worker: number): void {
    if (this.#stepping[worker]) return;
    this.#stepping[worker] = true;
    this.#step(worker);
  }

  #step(index: number): void {
    const worker = this.#workers[index];
    if (!worker) return;
    const wasSilent = worker.silent;
    worker.silent = this.options.fault === 'silent' && index === 0 && this.#isFaultActive;
    if (worker.silent && !wasSilent)
      this.#at(SILENCE_TIMEOUT_MS, () => this.#interruptStreams(index));
    worker.slowdownFactor =
      this.options.fault === 'slow' && index === 0 && this.#isFaultActive ? 3 : 1;
    const outputs: WorkerOutput[] = [];
    const ms = worker.step(outputs);
    if (ms === 0 && !worker.silent) {
      this.#stepping[index] = false;
      return;
    }
    this.#at(worker.silent ? SILENT_POLL_INTERVAL_MS : ms, () => {
      outputs.forEach((output) => this.#receive(index, output));
      this.#step(index);
    });
  }

  /** Ends the streams of a silent worker, as the router does after the silence timeout. */
  #interruptStreams(worker: number): void {
    const begun = [...this.#pending.values()].filter(
      (pending) => pending.worker === worker && pending.begun,
    );
    begun.forEach(({ arrival, entry }) => {
      this.#pending.delete(arrival.id);
      this.#workers[worker]?.cancel(arrival.id);
      this.#interrupted += 1;
      const { workspace } = arrival;
      this.#handle(entry, { type: 'end', worker: String(worker), workspace, failed: true });
    });
  }

  #receive(worker: number, { kind, request }: WorkerOutput): void {
    const pending = this.#pending.get(request.id);
    if (!pending || pending.worker !== worker) return;
    const name = String(worker);
    const delayMs = this.#now + NETWORK_DELAY_MS - pending.at;
    if (kind === 'end') {
      if (this.#now >= WARM_UP_DURATION_MS) this.#finished += 1;
      this.#pending.delete(request.id);
      const { workspace } = pending.arrival;
      this.#handle(pending.entry, { type: 'end', worker: name, workspace, failed: false });
      return;
    }
    pending.begun = true;
    this.#handle(pending.entry, { type: 'begin', worker: name, delayMs });
    const calm = this.options.fault !== 'noisy' || pending.arrival.workspace !== NOISY_WORKSPACE;
    if (pending.at >= WARM_UP_DURATION_MS && calm) this.#firstTokens.push(delayMs);
  }

  #sampleLoad(index: number): void {
    const worker = this.#workers[index];
    if (!worker) return;
    const { open, silent } = worker;
    if (this.#now >= WARM_UP_DURATION_MS) {
      this.#loadSums[index] = (this.#loadSums[index] ?? 0) + open;
      this.#loadSamples += 1;
    }
    if (!silent) this.#at(REPORT_DELAY_MS, () => this.#report(index, open));
    this.#at(this.options.reportMs, () => this.#sampleLoad(index));
  }

  #report(index: number, open: number): void {
    const report = { open, ageMs: REPORT_DELAY_MS };
    this.#entries.forEach((_, entry) => {
      this.#handle(entry, { type: 'report', worker: String(index), report });
    });
  }

  #tick(): void {
    this.#entries.forEach(({ scheduler }, entry) => {
      if (scheduler.waiting > 0) this.#handle(entry, { type: 'tick' });
    });
    this.#at(50, () => this.#tick());
  }

  #result(): SimulationResult {
    const faulty = this.options.fault === 'silent' || this.options.fault === 'slow';
    const sums = faulty ? this.#loadSums.slice(1) : this.#loadSums;
    const mean = sums.reduce((sum, load) => sum + load, 0) / sums.length;
    const prompt = this.#workers.reduce((sum, { promptTokens }) => sum + promptTokens, 0);
    const cached = this.#workers.reduce((sum, { cachedTokens }) => sum + cachedTokens, 0);
    return {
      firstTokens: this.#firstTokens.sort((a, b) => a - b),
      hitShare: cached / prompt,
      largestToMean: Math.max(...sums) / mean,
      requests: this.#requests,
      finishedPerSecond: this.#finished / this.options.seconds,
      refused: this.#refused,
      refusedOthers: this.#refusedOthers,
      retries: this.#entries.reduce((sum, { retries }) => sum + retries.retries, 0),
      lost: this.#lost,
      interrupted: this.#interrupted,
    };
  }
}
