/** The workers of one route, and which of them may take a request now. */
import { NetFlow } from './flow.js';
import { Worker } from './worker.js';

import type { Candidate } from './choice.js';

/** Age at which a report no longer counts, while other workers still report, in milliseconds. */
const STALE_MS = 2_500;

/** Age from which a report says nothing any more, in milliseconds. */
const EXPIRED_MS = 5_000;

/** Mean first-token delay, as a multiple of the pool's, from which a worker counts as slow. */
const SLOW_FACTOR = 2;

/** Load from which the room of a worker is divided between the daemons. */
const SCARCE_LOAD = 0.9;

/** Share of the workers below that load, under which all room is divided between the daemons. */
const ROOMY_SHARE = 0.5;

/** Interval at which the mean first-token delay is taken, in milliseconds. */
const JUDGE_MS = 500;

/** Least share that a slow worker is trusted with. */
const MIN_SPEED = 0.25;

/** A worker as the configuration declares it. */
export interface WorkerDocument {
  readonly name: string;
  readonly state: 'serving' | 'leaving';
  readonly concurrency: number;
}

/** Which workers are asked for. */
export interface CandidateQuery {
  /** Workers that earlier attempts have tried. */
  readonly excluded: readonly string[];
  /** Time in milliseconds. */
  readonly now: number;
  /** Load up to which a worker counts as having room. */
  readonly limit: number;
  /** Whether requests wait: then each daemon uses only its own share of the room. */
  readonly isWaiting: boolean;
}

/** Candidates of one choice. */
export interface Candidates {
  readonly candidates: readonly Candidate[];
  readonly meanLoad: number;
}

/** Keeps the records of the workers. */
export class Pool {
  readonly #workers = new Map<string, Worker>();

  #serving: readonly Worker[] = [];

  #documents: readonly WorkerDocument[] = [];

  #lastReport = Number.NEGATIVE_INFINITY;

  #meanDelay = 0;

  readonly #flow = new NetFlow();

  #judgedAt = Number.NEGATIVE_INFINITY;

  /**
   * Creates an empty pool.
   * @param daemons - live daemons that send to the pool, this one included
   */
  constructor(private readonly daemons: () => number) {}

  /** Workers that the configuration lets take new work. */
  get serving(): readonly Worker[] {
    return this.#serving;
  }

  /**
   * Takes the workers from a configuration; records of known workers are kept.
   * @param documents - every worker of the route
   */
  configure(documents: readonly WorkerDocument[]): void {
    if (documents === this.#documents) return;
    this.#documents = documents;
    const listed = new Set(documents.map(({ name }) => name));
    documents.forEach(({ name, concurrency }) => {
      if (this.#workers.get(name)?.capacity === concurrency) return;
      this.#workers.set(name, new Worker(name, concurrency));
    });
    [...this.#workers.values()]
      .filter(({ name, open }) => open === 0 && !listed.has(name))
      .forEach(({ name }) => this.#workers.delete(name));
    this.#serving = documents
      .filter(({ state }) => state === 'serving')
      .flatMap(({ name }) => this.#workers.get(name) ?? []);
  }

  /**
   * Gives the record of a worker.
   * @param name - upstream name
   * @returns the record; undefined for an unknown worker
   */
  worker(name: string): Worker | undefined {
    return this.#workers.get(name);
  }

  /**
   * Takes note of a request that begins or ends at a worker.
   * @param worker - the worker
   * @param change - 1 when it begins, -1 when it ends
   * @param now - time in milliseconds
   */
  count(worker: Worker, change: 1 | -1, now: number): void {
    worker.count(change, now);
    this.#flow.count(change, now);
  }

  /**
   * Takes note that some worker has reported.
   * @param now - time in milliseconds
   */
  noteReport(now: number): void {
    this.#lastReport = now;
    if (now - this.#judgedAt < JUDGE_MS) return;
    this.#judgedAt = now;
    let sum = 0;
    let count = 0;
    this.#serving.forEach(({ delayMs }) => {
      if (delayMs === undefined) return;
      sum += delayMs;
      count += 1;
    });
    this.#meanDelay = count < 2 ? 0 : sum / count;
  }

  /**
   * Lists the workers that may take a request.
   * If every worker is ejected or silent, all are tried again rather than none.
   * @param query - which workers are asked for
   * @returns those with room, and the mean load of the healthy ones
   */
  candidates({ excluded, now, limit, isWaiting }: CandidateQuery): Candidates {
    const query = { excluded, now, limit };
    const trusted = this.#gather(query, true);
    const found = trusted.healthy > 0 ? trusted : this.#gather(query, false);
    const { candidates, meanLoad, healthy } = found;
    const roomy = candidates.filter(({ load }) => load < SCARCE_LOAD).length;
    if (!isWaiting && roomy >= healthy * ROOMY_SHARE) return found;
    return { candidates: candidates.filter(({ worker }) => worker.allotment >= 1), meanLoad };
  }

  #gather(
    { excluded, now, limit }: Omit<CandidateQuery, 'isWaiting'>,
    strict: boolean,
  ): Candidates & { readonly healthy: number } {
    const candidates: Candidate[] = [];
    let sum = 0;
    let healthy = 0;
    const inflow = this.#unseenInflow(now);
    for (const worker of this.#serving) {
      if (worker.reportAge(now) > EXPIRED_MS) worker.forgetReport();
      const share = strict ? this.#share(worker, now) : 1;
      if (share > 0 && !(excluded.length > 0 && excluded.includes(worker.name))) {
        const unseen = inflow * worker.reportAge(now);
        const load = (worker.estimate + unseen) / (worker.capacity * share);
        sum += load;
        healthy += 1;
        const isRoom = load < limit && (load < SCARCE_LOAD || worker.allotment >= 1);
        if (isRoom) candidates.push({ worker, load });
      }
    }
    return { candidates, meanLoad: healthy === 0 ? 0 : sum / healthy, healthy };
  }

  /** Requests a millisecond that other daemons add to each worker, if they fare as this one does. */
  #unseenInflow(now: number): number {
    const perWorker = (this.daemons() - 1) / Math.max(1, this.#serving.length);
    return Math.max(0, this.#flow.perMs(now)) * perWorker;
  }

  #share(worker: Worker, now: number): number {
    const { reportedAt, delayMs } = worker;
    const silent = reportedAt > 0 && this.#lastReport - reportedAt > STALE_MS;
    if (silent) return 0;
    // A worker that returns is tried with one request at a time until it has answered.
    if (worker.health.onProbation && worker.open > 0) return 0;
    const share = worker.health.share(now);
    if (delayMs === undefined || delayMs <= this.#meanDelay * SLOW_FACTOR) return share;
    if (this.#meanDelay === 0) return share;
    return share * Math.max(MIN_SPEED, (this.#meanDelay * SLOW_FACTOR) / delayMs);
  }
}
