/** Measures the delay of the event loop. */
import { performance } from 'node:perf_hooks';

import type { Clock } from '../kernel/index.js';
import type { Recorder } from '../telemetry/index.js';
import type { GatewayMetrics } from './metrics.js';

/**
 * Interval of the samples, in milliseconds: at most REPORTED_DELAY_MS, so that a sample falls into every
 * delay of that length.
 */
const SAMPLE_INTERVAL_MS = 100;

/** Number of samples that one log line summarizes: with ten, at most one line is logged per second. */
const SAMPLES_PER_REPORT = 10;

/**
 * Minimum delay that is logged, in milliseconds: a delay of this length is noticeable in the time to the
 * first byte.
 */
const REPORTED_DELAY_MS = 100;

/** Summary of the samples since the last report. */
interface SampleSummary {
  /** Largest delay, in milliseconds. */
  readonly delayMs: number;
  readonly samples: number;
  /** Number of samples with a delay that is large enough to be logged. */
  readonly delayed: number;
}

const EMPTY_SUMMARY: SampleSummary = { delayMs: 0, samples: 0, delayed: 0 };

/** Samples the delay of the event loop for metrics and logs large delays. */
export class LoopDelay {
  #timer: NodeJS.Timeout | undefined;

  #dueAt = 0;

  #sampledAt = Number.POSITIVE_INFINITY;

  /** Time up to which all signals are known to have been read, in milliseconds. */
  #readUntil = Number.POSITIVE_INFINITY;

  #summary = EMPTY_SUMMARY;

  #lastUtilization = performance.eventLoopUtilization();

  /**
   * Creates the task.
   * @param clock - steady clock
   * @param recorder - log and timeline
   * @param metrics - receives every sample
   */
  constructor(
    private readonly clock: Clock,
    private readonly recorder: Recorder,
    private readonly metrics: GatewayMetrics,
  ) {}

  /** Starts sampling; the timer does not keep the process alive. */
  start(): void {
    this.#dueAt = this.clock.now() + SAMPLE_INTERVAL_MS;
    this.#timer = setInterval(() => this.#sample(), SAMPLE_INTERVAL_MS);
    this.#timer.unref();
  }

  /** Stops sampling. */
  stop(): void {
    clearInterval(this.#timer);
  }

  /**
   * Returns the earliest time at which a signal can have arrived that is read now. After a stall of the process the
   * sample is taken before the signal is read.
   * @param now - current time, in milliseconds
   * @returns time in milliseconds
   */
  earliestSignal(now: number): number {
    return Math.min(now, this.#readUntil);
  }

  #sample(): void {
    const now = this.clock.now();
    const delayMs = Math.max(0, now - this.#dueAt);
    this.#readUntil = delayMs < SAMPLE_INTERVAL_MS ? now : this.#sampledAt;
    this.#sampledAt = now;
    this.#dueAt = now + SAMPLE_INTERVAL_MS;
    this.metrics.loopDelay.observe(delayMs / 1_000);
    this.#summary = {
      delayMs: Math.max(this.#summary.delayMs, delayMs),
      samples: this.#summary.samples + 1,
      delayed: this.#summary.delayed + (delayMs >= REPORTED_DELAY_MS ? 1 : 0),
    };
    if (this.#summary.samples >= SAMPLES_PER_REPORT) this.#report();
  }

  #report(): void {
    const summary = this.#summary;
    this.#summary = EMPTY_SUMMARY;
    const used = performance.eventLoopUtilization();
    const { utilization } = performance.eventLoopUtilization(used, this.#lastUtilization);
    this.#lastUtilization = used;
    if (summary.delayMs < REPORTED_DELAY_MS) return;
    const facts = {
      maxMs: Math.round(summary.delayMs),
      delayed: summary.delayed,
      samples: summary.samples,
      utilization: Number(utilization.toFixed(2)),
    };
    this.recorder.record('loopDelayed', { facts });
  }
}
