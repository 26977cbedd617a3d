/**
 * How long work takes at an upstream, relative to the usual time of its service.
 *
 * Covers these kinds of load: upstreams of different speeds; upstreams that slow down long before they are full; upstreams
 * that slow down for moments, which they state; upstreams whose statements are wrong; and upstreams that recover, to which
 * requests return because what was learned of them fades.
 */
import { FadingMean } from './fadingmean.js';
import { LEAST_WORK_MS } from './usualpace.js';

import type { UsualPace } from './usualpace.js';

/** Time after which what an upstream stated says little about now, in milliseconds. */
const STATED_MEMORY_MS = 400;

/** Share of its slots from which on an upstream is observed separately. */
const HALF_FULL = 0.5;

/** Difference of logarithms that counts as noise: about 40%. */
const NOISE = 0.35;

/** Least and greatest factor that is learned. */
const LEAST_FACTOR = 0.2;
const GREATEST_FACTOR = 8;

/** An answer that has begun. */
export interface PaceSample {
  /** Time from the send to the beginning of the answer, in milliseconds. */
  readonly tookMs: number;
  /** Time that was expected at an upstream of the usual pace, in milliseconds; 0 for work of unknown size. */
  readonly expectedMs: number;
  /** Share of the slots that were taken when the request was sent. */
  readonly fill: number;
}

function withoutNoise(difference: number): number {
  return Math.sign(difference) * Math.max(0, Math.abs(difference) - NOISE);
}

/** Learns the pace of one upstream from what it states and from its answers. */
export class UpstreamPace {
  readonly #below = new FadingMean();

  readonly #above = new FadingMean();

  #stated = { factor: 1, at: Number.NEGATIVE_INFINITY };

  /**
   * Starts with the usual pace.
   * @param usual - what is usual for the service
   */
  constructor(private readonly usual: UsualPace) {}

  /**
   * Records the pace that the upstream states.
   * @param percent - time that work takes, in percent of the usual time
   * @param now - milliseconds
   */
  noteStated(percent: number, now: number): void {
    this.#stated = { factor: percent / 100, at: now };
    this.usual.addStated(percent / 100);
  }

  /**
   * Records an answer that has begun. What the upstream states now explains a part of the time that it took.
   * @param sample - the answer
   * @param now - milliseconds
   */
  noteAnswer({ tookMs, expectedMs, fill }: PaceSample, now: number): void {
    const expected = expectedMs + LEAST_WORK_MS;
    const logRatio = Math.log((tookMs + LEAST_WORK_MS) / expected);
    const explained = Math.log(this.#statedFactor(now));
    const band = fill < HALF_FULL ? this.#below : this.#above;
    band.add(logRatio - explained - this.usual.logRatio, now);
    this.usual.addAnswer(logRatio - explained);
  }

  /**
   * Estimates the time that work takes now.
   * @param fill - share of the slots that are taken
   * @param now - milliseconds
   * @returns factor of the usual time
   */
  factor(fill: number, now: number): number {
    const below = this.#below.meanBeside(0, now);
    const learned = fill < HALF_FULL ? below : this.#above.meanBeside(below, now);
    const bounded = Math.min(
      GREATEST_FACTOR,
      Math.max(LEAST_FACTOR, Math.exp(withoutNoise(learned))),
    );
    return bounded * this.#statedFactor(now);
  }

  /** Stated pace relative to the usual one; it approaches the usual one with its age. */
  #statedFactor(now: number): number {
    const { factor, at } = this.#stated;
    const kept = Math.exp((at - now) / STATED_MEMORY_MS);
    return 1 + (factor / this.usual.stated - 1) * kept;
  }
}
