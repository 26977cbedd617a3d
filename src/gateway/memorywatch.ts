/** Watches the resident memory of the process against the limit of its instance. */
import { totalmem } from 'node:os';

import { MEGABYTE_BYTES } from '../kernel/index.js';

import type { Recorder } from '../telemetry/index.js';
import type { GatewayMetrics } from './metrics.js';

/** Interval of the samples, in milliseconds: bodies can fill a small instance in some hundred milliseconds. */
const SAMPLE_INTERVAL_MS = 100;

/** Least share of the limit that is logged. */
const REPORTED_SHARE = 0.75;

/** Least time between two log lines, in milliseconds. */
const REPORT_INTERVAL_MS = 1_000;

/** What the process holds, for the log. */
export type HeldFacts = Readonly<Record<string, number>>;

/**
 * Returns the memory that the process may use.
 * @param memoryMb - limit in the settings, in megabytes; if it is missing, the memory of the machine
 * @returns the limit in bytes
 */
export function memoryLimitBytes(memoryMb: number | null | undefined): number {
  return memoryMb ? memoryMb * MEGABYTE_BYTES : totalmem();
}

function megabytes(bytes: number): number {
  return Math.round(bytes / MEGABYTE_BYTES);
}

/** Samples the resident size for metrics, and logs what the process holds once it nears the limit. */
export class MemoryWatch {
  #timer: NodeJS.Timeout | undefined;

  #reportedAt = Number.NEGATIVE_INFINITY;

  /**
   * Creates the task.
   * @param limitBytes - memory that the process may use, in bytes
   * @param recorder - log and timeline
   * @param metrics - receives every sample
   * @param held - returns what the process holds
   * @param onSample - called with every sample, in bytes
   */
  constructor(
    readonly limitBytes: number,
    private readonly recorder: Recorder,
    private readonly metrics: GatewayMetrics,
    private readonly held: () => HeldFacts,
    private readonly onSample: (residentBytes: number) => void,
  ) {
    metrics.memoryLimit.set(limitBytes);
  }

  /** Starts sampling; the timer does not keep the process alive. */
  start(): void {
    this.#sample();
    this.#timer = setInterval(() => this.#sample(), SAMPLE_INTERVAL_MS);
    this.#timer.unref();
  }

  /** Stops sampling. */
  stop(): void {
    clearInterval(this.#timer);
  }

  #sample(): void {
    const residentBytes = process.memoryUsage.rss();
    this.metrics.memory.set(residentBytes);
    this.onSample(residentBytes);
    const now = performance.now();
    if (residentBytes < this.limitBytes * REPORTED_SHARE) return;
    if (now - this.#reportedAt < REPORT_INTERVAL_MS) return;
    this.#reportedAt = now;
    const { heapTotal, heapUsed, external, arrayBuffers } = process.memoryUsage();
    const facts = {
      residentMb: megabytes(residentBytes),
      limitMb: megabytes(this.limitBytes),
      heapMb: megabytes(heapTotal),
      heapUsedMb: megabytes(heapUsed),
      externalMb: megabytes(external),
      buffersMb: megabytes(arrayBuffers),
      ...this.held(),
    };
    this.recorder.record('memoryHigh', { facts });
  }
}
