/** The workers of one route, and the selection of those that may receive a request now. */
import { NetRequestRate } from './netrequestrate.js';
import { Worker } from './worker.js';

import type { Candidate } from './loadbalancingpolicy.js';

/**
 * Time without a load report after which a worker receives no requests while other workers still
 * report, in milliseconds.
 */
const STALE_REPORT_MS = 2_500;

/** Age from which a load report is discarded, in milliseconds. */
const EXPIRED_REPORT_MS = 5_000;

/** A worker is slow if its mean first-token delay exceeds this multiple of the pool's mean. */
const SLOW_DELAY_FACTOR = 2;

/** Load from which the spare capacity of a worker is divided between the daemons. */
const NEARLY_FULL_LOAD = 0.9;

/**
 * If a smaller share of the healthy workers is below that load, the spare capacity of every worker is
 * divided between the daemons.
 */
const MIN_ROOMY_SHARE = 0.5;

/** Minimum interval between two updates of the pool's mean first-token delay, in milliseconds. */
const MEAN_DELAY_INTERVAL_MS = 500;

/** Minimum share of its capacity that a slow worker may use. */
const MIN_SLOW_WORKER_SHARE = 0.25;

/** A worker as declared in the configuration. */
export interface WorkerDocument {
  readonly name: string;
  readonly state: 'serving' | 'leaving';
  readonly concurrency: number;
}

/** Criteria for candidates. */
export interface CandidateQuery {
  /** Workers that the request may not use, such as those of failed attempts. */
  readonly excluded: readonly string[];
  /** Current time, in milliseconds. */
  readonly now: number;
  /** Load below which a worker has room for the request. */
  readonly limit: number;
  /** Whether requests are queued; each daemon then uses only its own share of the spare capacity. */
  readonly isWaiting: boolean;
}

/** Candidates for one load balancing decision. */
export interface Candidates {
  readonly candidates: readonly Candidate[];
  readonly meanLoad: number;
}

/** Owns the worker records of one route. */
export class Pool {
  readonly #workers = new Map<string, Worker>();

  #serving: readonly Worker[] = [];

  #documents: readonly WorkerDocument[] = [];

  #lastReportAt = Number.NEGATIVE_INFINITY;

  #meanDelayMs = 0;

  readonly #netRate = new NetRequestRate();

  #meanDelayAt = Number.NEGATIVE_INFINITY;

  /**
   * Creates an empty pool.
   * @param daemons - returns the number of live daemons that send to the pool, this one included
   */
  constructor(private readonly daemons: () => number) {}

  /** Workers that receive new requests according to the configuration. */
  get serving(): readonly Worker[] {
    return this.#serving;
  }

  /**
   * Applies the configured workers; records of workers with unchanged capacity are kept.
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
   * Returns the record of a worker.
   * @param name - identifier of the worker
   * @returns the record; undefined for an unknown worker
   */
  worker(name: string): Worker | undefined {
    return this.#workers.get(name);
  }

  /**
   * Records a request that begins or ends at a worker.
   * @param worker - the worker
   * @param change - 1 when it begins, -1 when it ends
   * @param now - time in milliseconds
   */
  count(worker: Worker, change: 1 | -1, now: number): void {
    worker.count(change, now);
    this.#netRate.count(change, now);
  }

  /**
   * Records that a worker has sent a load report.
   * @param now - time in milliseconds
   */
  recordReport(now: number): void {
    this.#lastReportAt = now;
    if (now - this.#meanDelayAt < MEAN_DELAY_INTERVAL_MS) return;
    this.#meanDelayAt = now;
    let sum = 0;
    let count = 0;
    this.#serving.forEach(({ delayMs }) => {
      if (delayMs === undefined) return;
      sum += delayMs;
      count += 1;
    });
    this.#meanDelayMs = count < 2 ? 0 : sum / count;
  }

  /**
   * Lists the workers that may receive a request.
   * If every worker is ejected or no longer reports, all of them are tried rather than none.
   * @param query - criteria for candidates
   * @returns the workers with room, and the mean load of the healthy workers
   */
  candidates({ excluded, now, limit, isWaiting }: CandidateQuery): Candidates {
    const query = { excluded, now, limit };
    const trusted = this.#collectCandidates(query, true);
    const found = trusted.healthy > 0 ? trusted : this.#collectCandidates(query, false);
    const { candidates, meanLoad, healthy } = found;
    const roomy = candidates.filter(({ load }) => load < NEARLY_FULL_LOAD).length;
    if (!isWaiting && roomy >= healthy * MIN_ROOMY_SHARE) return found;
    return { candidates: candidates.filter(({ worker }) => worker.allotment >= 1), meanLoad };
  }

  #collectCandidates(
    { excluded, now, limit }: Omit<CandidateQuery, 'isWaiting'>,
    strict: boolean,
  ): Candidates & { readonly healthy: number } {
    const candidates: Candidate[] = [];
    let sum = 0;
    let healthy = 0;
    const unreportedPerMs = this.#unreportedRequestsPerMs(now);
    for (const worker of this.#serving) {
      if (worker.reportAgeMs(now) > EXPIRED_REPORT_MS) worker.discardReport();
      const share = strict ? this.#capacityShare(worker, now) : 1;
      if (share > 0 && !(excluded.length > 0 && excluded.includes(worker.name))) {
        const unreported = unreportedPerMs * worker.reportAgeMs(now);
        const load = (worker.estimatedOpen + unreported) / (worker.capacity * share);
        sum += load;
        healthy += 1;
        const hasRoom = load < limit && (load < NEARLY_FULL_LOAD || worker.allotment >= 1);
        if (hasRoom) candidates.push({ worker, load });
      }
    }
    return { candidates, meanLoad: healthy === 0 ? 0 : sum / healthy, healthy };
  }

  /**
   * Estimates the requests per millisecond that the other daemons add to each worker, assuming that
   * their net request rates equal the rate of this daemon.
   */
  #unreportedRequestsPerMs(now: number): number {
    const perWorker = (this.daemons() - 1) / Math.max(1, this.#serving.length);
    return Math.max(0, this.#netRate.perMs(now)) * perWorker;
  }

  #capacityShare(worker: Worker, now: number): number {
    const { reportedAt, delayMs } = worker;
    const isStale = reportedAt > 0 && this.#lastReportAt - reportedAt > STALE_REPORT_MS;
    if (isStale) return 0;
    // After an ejection a worker receives one request at a time until it begins an answer.
    if (worker.health.isUnproven && worker.open > 0) return 0;
    const share = worker.health.share(now);
    if (delayMs === undefined || delayMs <= this.#meanDelayMs * SLOW_DELAY_FACTOR) return share;
    if (this.#meanDelayMs === 0) return share;
    return (
      share * Math.max(MIN_SLOW_WORKER_SHARE, (this.#meanDelayMs * SLOW_DELAY_FACTOR) / delayMs)
    );
  }
}
