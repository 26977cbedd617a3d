/** Watches the resident memory of the process against the limit of its instance. */
import { readFileSync } from 'node:fs';
import { totalmem } from 'node:os';

import { KIB_BYTES, MEGABYTE_BYTES } from '../kernel/index.js';

import type { Recorder } from '../telemetry/index.js';
import type { GatewayMetrics } from './metrics.js';

/** Interval of the samples, in milliseconds: bodies can fill a small instance in some hundred milliseconds. */
const SAMPLE_INTERVAL_MS = 100;

/** Number of samples for which the size of pages of files is taken as unchanged; it changes little after the start. */
const FILE_SAMPLES = 10;

/** Memory that is left for bodies below which samples are logged, as a share of the limit. */
const REPORTED_SHARE = 0.15;

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

/**
 * Returns the part of the resident size that is in files.
 * @param status - text of /proc/PID/status
 * @returns size in bytes, 0 if the text does not name it
 */
export function fileBytesOf(status: string): number {
  return Number(/^RssFile:\s+(\d+) kB$/m.exec(status)?.[1] ?? 0) * KIB_BYTES;
}

/** Part of the resident size that is in files, in bytes; undefined on systems that do not tell. */
function readFileBytes(): number | undefined {
  try {
    // eslint-disable-next-line n/no-sync -- a file of the kernel, which does not block
    return fileBytesOf(readFileSync('/proc/self/status', 'latin1'));
  } catch {
    return undefined;
  }
}

/** Room for bodies, which depends on the samples. */
export interface MemoryUser {
  /** Memory that is left, in bytes. */
  readonly freeBytes: number;
  /**
   * Takes a sample.
   * @param residentBytes - resident size, in bytes
   * @param fileBytes - part of it that is in files, in bytes
   */
  readonly sample: (residentBytes: number, fileBytes: number) => void;
}

function megabytes(bytes: number): number {
  return Math.round(bytes / MEGABYTE_BYTES);
}

/** Samples the resident size for metrics, and logs what the process holds once it nears the limit. */
export class MemoryWatch {
  #timer: NodeJS.Timeout | undefined;

  #fileBytes = 0;

  /** Number of samples until the size of pages of files is read again; none if it cannot be read. */
  #fileCountdown = 0;

  #reportedAt = Number.NEGATIVE_INFINITY;

  /**
   * Creates the task.
   * @param limitBytes - memory that the process may use, in bytes
   * @param recorder - log and timeline
   * @param metrics - receives every sample
   * @param held - returns what the process holds
   * @param user - receives every sample
   */
  constructor(
    readonly limitBytes: number,
    private readonly recorder: Recorder,
    private readonly metrics: GatewayMetrics,
    private readonly held: () => HeldFacts,
    private readonly user: MemoryUser,
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
    this.#sampleFiles();
    this.user.sample(residentBytes, this.#fileBytes);
    const now = performance.now();
    if (this.user.freeBytes > this.limitBytes * REPORTED_SHARE) return;
    if (now - this.#reportedAt < REPORT_INTERVAL_MS) return;
    this.#reportedAt = now;
    const { heapTotal, heapUsed, external, arrayBuffers } = process.memoryUsage();
    const facts = {
      residentMb: megabytes(residentBytes),
      filesMb: megabytes(this.#fileBytes),
      freeMb: megabytes(this.user.freeBytes),
      limitMb: megabytes(this.limitBytes),
      heapMb: megabytes(heapTotal),
      heapUsedMb: megabytes(heapUsed),
      externalMb: megabytes(external),
      buffersMb: megabytes(arrayBuffers),
      ...this.held(),
    };
    this.recorder.record('memoryHigh', { facts });
  }

  #sampleFiles(): void {
    if (this.#fileCountdown > 0) {
      this.#fileCountdown -= 1;
      return;
    }
    const fileBytes = readFileBytes();
    this.#fileBytes = fileBytes ?? 0;
    this.#fileCountdown = fileBytes === undefined ? Number.POSITIVE_INFINITY : FILE_SAMPLES;
  }
}
