/** Measures how late the event loop gets to its work. */
import { performance } from 'node:perf_hooks';

import type { Clock } from '../kernel/index.js';
import type { Recorder } from '../telemetry/index.js';
import type { GatewayMetrics } from './metrics.js';

/** Interval of the samples, in milliseconds: a fraction of the delay that is worth a line. */
const SAMPLE_MS = 100;

/** Samples between two looks at the worst of them: at most one line a second. */
const SAMPLES_TOLD = 10;

/** Delay from which a line is written, in milliseconds: callers notice it in their first byte. */
const TOLD_MS = 100;

/** What the samples since the last line add up to. */
interface Worst {
  readonly delayMs: number;
  readonly samples: number;
  readonly delayed: number;
}

const NONE: Worst = { delayMs: 0, samples: 0, delayed: 0 };

/** Samples the delay of the event loop for log and metrics. */
export class LoopDelay {
  #timer: NodeJS.Timeout | undefined;

  #dueAt = 0;

  #worst = NONE;

  #used = performance.eventLoopUtilization();

  /**
   * Creates the task.
   * @param clock - steady clock
   * @param recorder - log and time line
   * @param metrics - takes every sample
   */
  constructor(
    private readonly clock: Clock,
    private readonly recorder: Recorder,
    private readonly metrics: GatewayMetrics,
  ) {}

  /** Starts the samples; they do not keep the process alive. */
  start(): void {
    this.#dueAt = this.clock.now() + SAMPLE_MS;
    this.#timer = setInterval(() => this.#sample(), SAMPLE_MS);
    this.#timer.unref();
  }

  /** Stops the samples. */
  stop(): void {
    clearInterval(this.#timer);
  }

  #sample(): void {
    const now = this.clock.now();
    const delayMs = Math.max(0, now - this.#dueAt);
    this.#dueAt = now + SAMPLE_MS;
    this.metrics.loopDelay.observe(delayMs / 1_000);
    this.#worst = {
      delayMs: Math.max(this.#worst.delayMs, delayMs),
      samples: this.#worst.samples + 1,
      delayed: this.#worst.delayed + (delayMs >= TOLD_MS ? 1 : 0),
    };
    if (this.#worst.samples >= SAMPLES_TOLD) this.#tell();
  }

  #tell(): void {
    const worst = this.#worst;
    this.#worst = NONE;
    const used = performance.eventLoopUtilization();
    const { utilization } = performance.eventLoopUtilization(used, this.#used);
    this.#used = used;
    if (worst.delayMs < TOLD_MS) return;
    const facts = {
      maxMs: Math.round(worst.delayMs),
      delayed: worst.delayed,
      samples: worst.samples,
      utilization: Number(utilization.toFixed(2)),
    };
    this.recorder.record('loopDelayed', { facts });
  }
}
