/** What one daemon knows of the load and the soundness of one upstream. */
import { Health } from './health.js';

import type { HealthOptions } from './health.js';

/** Weight of the newest answer in the share of failed ones. */
const FAILURE_WEIGHT = 0.15;

/** Age from which the load of an answer says nothing any more, in milliseconds. */
const MAX_LOAD_AGE_MS = 1_500;

/** Ejection on the scale of callers that wait for seconds. */
const HEALTH_OPTIONS: HealthOptions = {
  consecutiveFailures: 2,
  firstMs: 500,
  longestMs: 4_000,
  slowStartMs: 1_000,
};

/** Load as the upstream reported it. */
interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
}

/** A request at the upstream. */
export interface OpenRequest {
  readonly sentAt: number;
  /** Prompt tokens that the upstream probably has to read for it. */
  readonly uncachedTokens: number;
  /** Tokens that it takes of the upstream's memory at most. */
  readonly memoryTokens: number;
  /** Whether a part of the answer has arrived. */
  isAnswered: boolean;
}

/** Follows one upstream. */
export class UpstreamStats {
  readonly health = new Health(HEALTH_OPTIONS);

  readonly #open = new Set<OpenRequest>();

  #load: ReportedLoad = { running: 0, waiting: 0 };

  #loadReportedAt = Number.NEGATIVE_INFINITY;

  /** Change of the own open requests since the load was reported. */
  #changeSinceLoad = 0;

  #failedShare = 0;

  /** Prompt tokens of other daemons that were left to read at a moment. */
  #peerPrompts = { tokens: 0, at: Number.NEGATIVE_INFINITY };

  #lastResponseAt = Number.NEGATIVE_INFINITY;

  /** Requests of this daemon that are at the upstream. */
  get open(): number {
    return this.#open.size;
  }

  /** Share of the latest answers that were failures, 0 to 1. */
  get failedShare(): number {
    return this.#failedShare;
  }

  /** Prompt tokens sent there whose answers have not begun. */
  get pendingTokens(): number {
    let sum = 0;
    this.#open.forEach(({ isAnswered, uncachedTokens }) => {
      if (!isAnswered) sum += uncachedTokens;
    });
    return sum;
  }

  /**
   * Takes note of a long prompt that another daemon has sent there.
   * @param tokens - prompt tokens that are to be read
   * @param tokensPerMs - tokens that the upstream reads in a millisecond
   * @param now - milliseconds
   */
  recordPeerPrompt(tokens: number, tokensPerMs: number, now: number): void {
    this.#peerPrompts = { tokens: this.pendingPeerTokens(tokensPerMs, now) + tokens, at: now };
  }

  /**
   * Gives the prompt tokens of other daemons that are probably still to be read.
   * @param tokensPerMs - tokens that the upstream reads in a millisecond
   * @param now - milliseconds
   * @returns tokens
   */
  pendingPeerTokens(tokensPerMs: number, now: number): number {
    const { tokens, at } = this.#peerPrompts;
    return tokens === 0 ? 0 : Math.max(0, tokens - (now - at) * tokensPerMs);
  }

  /** Memory that the own open requests take at most, in tokens. */
  get memoryTokens(): number {
    let sum = 0;
    this.#open.forEach(({ memoryTokens }) => {
      sum += memoryTokens;
    });
    return sum;
  }

  /**
   * Estimates the requests of all daemons at the upstream.
   * @param now - milliseconds
   * @returns running and waiting ones
   */
  estimatedOpen(now: number): number {
    if (now - this.#loadReportedAt > MAX_LOAD_AGE_MS) return this.open;
    return Math.max(this.open, this.#load.running + this.#load.waiting + this.#changeSinceLoad);
  }

  /**
   * Estimates the requests that wait at the upstream for a slot.
   * @param now - milliseconds
   * @returns waiting ones as reported; 0 once the report is old
   */
  waiting(now: number): number {
    return now - this.#loadReportedAt > MAX_LOAD_AGE_MS ? 0 : this.#load.waiting;
  }

  /**
   * Gives the time for which the upstream owes a sign of life.
   * @param now - milliseconds
   * @returns age of the oldest unanswered request, at most since the last sign of life; 0 for none
   */
  silentMs(now: number): number {
    let oldest = now;
    this.#open.forEach(({ isAnswered, sentAt }) => {
      if (!isAnswered) oldest = Math.min(oldest, sentAt);
    });
    return now - Math.max(oldest, Math.min(now, this.#lastResponseAt));
  }

  /**
   * Takes note of a request that is sent there.
   * @param request - its size
   * @returns the record to end it with
   */
  begin(request: OpenRequest): OpenRequest {
    this.#open.add(request);
    this.#changeSinceLoad += 1;
    return request;
  }

  /**
   * Takes note of a request that ended.
   * @param request - its record
   */
  end(request: OpenRequest): void {
    if (this.#open.delete(request)) this.#changeSinceLoad -= 1;
  }

  /**
   * Takes note of a sign of life.
   * @param request - the request that it belongs to
   * @param load - load that came with it; undefined for none
   * @param now - milliseconds
   */
  recordResponse(request: OpenRequest, load: ReportedLoad | undefined, now: number): void {
    const record = request;
    record.isAnswered = true;
    this.#lastResponseAt = now;
    if (!load) return;
    this.#load = load;
    this.#loadReportedAt = now;
    this.#changeSinceLoad = 0;
  }

  /**
   * Takes note of an answer.
   * @param failed - whether the upstream failed the request
   * @param now - milliseconds
   */
  answered(failed: boolean, now: number): void {
    this.#failedShare += ((failed ? 1 : 0) - this.#failedShare) * FAILURE_WEIGHT;
    this.health.recordSuccess(now);
  }
}
