/** Load and health of one upstream, as known to one daemon. */
import { Health } from './health.js';
import { UpstreamPace } from './pace.js';
import { UsualPace } from './usualpace.js';

import type { HealthOptions } from './health.js';
import type { PaceSample } from './pace.js';

/** Weight of the newest answer in the moving average of failed answers. */
const FAILURE_WEIGHT = 0.15;

/** Age above which a reported load is ignored, in milliseconds. */
const MAX_LOAD_AGE_MS = 1_500;

/** Short ejections, because callers wait only for seconds. */
const HEALTH_OPTIONS: HealthOptions = {
  consecutiveFailures: 2,
  firstMs: 500,
  longestMs: 4_000,
  slowStartMs: 1_000,
};

/** Load as reported by the upstream with an answer. */
interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  /** Time that work takes there now, in percent of the usual time; missing if it is not stated. */
  readonly pacePercent?: number;
}

/** An open request at the upstream. */
export interface OpenRequest {
  readonly sentAt: number;
  /** Prompt tokens that are probably not cached at the upstream and have to be processed. */
  readonly uncachedTokens: number;
  /** Maximum token memory that it uses at the upstream. */
  readonly memoryTokens: number;
  /** What was expected at the usual pace when it was sent; missing if its answer says nothing about the pace. */
  readonly expected?: Pick<PaceSample, 'expectedMs' | 'fill'>;
  /** Whether part of the answer has arrived. */
  isAnswered: boolean;
}

/** Tracks the load, the failures and the time without a response of one upstream. */
export class UpstreamStats {
  readonly health = new Health(HEALTH_OPTIONS);

  readonly pace: UpstreamPace;

  readonly #open = new Set<OpenRequest>();

  #load: ReportedLoad = { running: 0, waiting: 0 };

  #loadReportedAt = Number.NEGATIVE_INFINITY;

  /** Change in the number of this daemon's open requests since the last reported load. */
  #changeSinceLoad = 0;

  #failedShare = 0;

  /** Unprocessed prompt tokens of other daemons at a given time, in milliseconds. */
  #peerPrompts = { tokens: 0, at: Number.NEGATIVE_INFINITY };

  #lastResponseAt = Number.NEGATIVE_INFINITY;

  /**
   * Starts without load.
   * @param usualPace - what is usual for the service
   */
  constructor(usualPace = new UsualPace()) {
    this.pace = new UpstreamPace(usualPace);
  }

  /** Number of open requests of this daemon at the upstream. */
  get open(): number {
    return this.#open.size;
  }

  /** Moving average of failed answers, as a share from 0 to 1. */
  get failedShare(): number {
    return this.#failedShare;
  }

  /** Uncached prompt tokens of open requests of this daemon whose answers have not begun. */
  get pendingTokens(): number {
    let sum = 0;
    this.#open.forEach(({ isAnswered, uncachedTokens }) => {
      if (!isAnswered) sum += uncachedTokens;
    });
    return sum;
  }

  /**
   * Records a long prompt that another daemon has sent to the upstream.
   * @param tokens - prompt tokens that have to be processed
   * @param tokensPerMs - prompt tokens that the upstream processes per millisecond
   * @param now - milliseconds
   */
  recordPeerPrompt(tokens: number, tokensPerMs: number, now: number): void {
    this.#peerPrompts = { tokens: this.pendingPeerTokens(tokensPerMs, now) + tokens, at: now };
  }

  /**
   * Estimates the prompt tokens of other daemons that the upstream has not yet processed.
   * @param tokensPerMs - prompt tokens that the upstream processes per millisecond
   * @param now - milliseconds
   * @returns tokens
   */
  pendingPeerTokens(tokensPerMs: number, now: number): number {
    const { tokens, at } = this.#peerPrompts;
    return tokens === 0 ? 0 : Math.max(0, tokens - (now - at) * tokensPerMs);
  }

  /** Maximum memory that the open requests of this daemon use, in tokens. */
  get memoryTokens(): number {
    let sum = 0;
    this.#open.forEach(({ memoryTokens }) => {
      sum += memoryTokens;
    });
    return sum;
  }

  /**
   * Estimates the open requests of all daemons at the upstream.
   * @param now - milliseconds
   * @returns number of running and waiting requests
   */
  estimatedOpen(now: number): number {
    if (now - this.#loadReportedAt > MAX_LOAD_AGE_MS) return this.open;
    return Math.max(this.open, this.#load.running + this.#load.waiting + this.#changeSinceLoad);
  }

  /**
   * Returns the number of requests that wait at the upstream for a slot.
   * @param now - milliseconds
   * @returns number as last reported; 0 if the reported load is too old
   */
  waiting(now: number): number {
    return now - this.#loadReportedAt > MAX_LOAD_AGE_MS ? 0 : this.#load.waiting;
  }

  /**
   * Returns the time for which the upstream has sent nothing while requests are unanswered.
   * @param now - milliseconds
   * @returns milliseconds since the oldest unanswered request was sent or the last response arrived,
   *   whichever is later; 0 if no request is unanswered
   */
  silentMs(now: number): number {
    let oldest = now;
    this.#open.forEach(({ isAnswered, sentAt }) => {
      if (!isAnswered) oldest = Math.min(oldest, sentAt);
    });
    return now - Math.max(oldest, Math.min(now, this.#lastResponseAt));
  }

  /**
   * Records a request that is sent to the upstream.
   * @param request - the request, with its size
   * @returns the same record, to be passed to the other methods
   */
  begin(request: OpenRequest): OpenRequest {
    this.#open.add(request);
    this.#changeSinceLoad += 1;
    return request;
  }

  /**
   * Records that a request has ended.
   * @param request - its record
   */
  end(request: OpenRequest): void {
    if (this.#open.delete(request)) this.#changeSinceLoad -= 1;
  }

  /**
   * Records that part of an answer has arrived.
   * @param request - record of the request
   * @param load - load that the upstream reported with it; undefined for none
   * @param now - milliseconds
   * @param isServed - whether the upstream has done the work; an answer without work says nothing about its pace
   */
  recordResponse(
    request: OpenRequest,
    load: ReportedLoad | undefined,
    now: number,
    isServed = false,
  ): void {
    const record = request;
    const { isAnswered, expected, sentAt } = record;
    record.isAnswered = true;
    this.#lastResponseAt = now;
    if (load?.pacePercent !== undefined) this.pace.noteStated(load.pacePercent, now);
    if (!isAnswered && isServed && expected)
      this.pace.noteAnswer({ ...expected, tookMs: now - sentAt }, now);
    if (!load) return;
    this.#load = load;
    this.#loadReportedAt = now;
    this.#changeSinceLoad = 0;
  }

  /**
   * Records the result of an answer. For the ejection every answer counts as a success, because the
   * upstream can be reached.
   * @param failed - whether the upstream failed the request
   * @param now - milliseconds
   */
  answered(failed: boolean, now: number): void {
    this.#failedShare += ((failed ? 1 : 0) - this.#failedShare) * FAILURE_WEIGHT;
    this.health.recordSuccess(now);
  }
}
