/**
 * Finds prompt parts that too many requests share for one upstream.
 *
 * Answers the load of few common parts before many different ones, in a fleet where each daemon sees a fraction of the
 * traffic: the shares of its own recent requests tell those of the fleet, where counts and load reports tell nothing.
 */
import type { PlacementRequest } from './placement.js';

/** Time constant of the decay of what was seen, in milliseconds: the time for which an upstream usually caches a part. */
const DECAY_MS = 10_000;

/** Recent requests with a part from which its share counts; fewer may be chance. */
const MIN_REQUESTS = 2.5;

/** Share of the prompt tokens from which a part is hot, as a multiple of the mean share of an upstream. */
const HOT_FACTOR = 2;

/** Number of parts that are remembered; the least used ones are dropped beyond it. */
const MAX_PARTS = 2_000;

/** Share of the shared tokens that the affinity part and all parts before it must cover. */
const AFFINITY_PART_COVERAGE = 0.5;

/** Decayed use of one part. */
interface PartUse {
  readonly requests: number;
  readonly tokens: number;
  readonly at: number;
}

const UNUSED: PartUse = { requests: 0, tokens: 0, at: 0 };

function decayed({ requests, tokens, at }: PartUse, now: number): PartUse {
  const factor = Math.exp(-Math.max(0, now - at) / DECAY_MS);
  return { requests: requests * factor, tokens: tokens * factor, at: now };
}

/** Finds the first part that, together with all parts before it, covers at least half of the shared tokens. */
function coveringPart({ sharedParts, sharedTokens }: PlacementRequest): number {
  let covered = 0;
  return sharedParts.findIndex(({ tokens }) => {
    covered += tokens;
    return covered >= sharedTokens * AFFINITY_PART_COVERAGE;
  });
}

/** Keeps the recent use of prompt parts and chooses the part that determines the preferred upstream of a prompt. */
export class HotParts {
  readonly #parts = new Map<string, PartUse>();

  #total = UNUSED;

  /**
   * Chooses the affinity part of a request and records the request: the first part that, together with all parts before
   * it, covers at least half of the shared tokens. Requests that differ only in later parts go to the same upstream, so
   * that the common parts are processed only there. If too many requests share this part, a later part is chosen, and
   * the common parts are cached at many upstreams.
   * @param request - the request
   * @param upstreams - number of upstreams that may receive it
   * @param now - milliseconds
   * @returns id of the part; undefined for a request without shared parts
   */
  choose(request: PlacementRequest, upstreams: number, now: number): string | undefined {
    const first = coveringPart(request);
    if (first < 0) return undefined;
    const parts = request.sharedParts.slice(first);
    this.#total = this.#add(this.#total, request.promptTokens, now);
    parts.forEach(({ id }) => this.#note(id, request.promptTokens, now));
    const calm = parts.find(({ id }) => !this.#isHot(id, upstreams, now));
    return (calm ?? parts.at(-1))?.id;
  }

  #note(id: string, tokens: number, now: number): void {
    const use = this.#add(this.#parts.get(id) ?? UNUSED, tokens, now);
    // Parts are kept in the order of their last use.
    this.#parts.delete(id);
    this.#parts.set(id, use);
    const [oldest] = this.#parts.keys();
    if (this.#parts.size > MAX_PARTS && oldest !== undefined) this.#parts.delete(oldest);
  }

  #add(use: PartUse, added: number, now: number): PartUse {
    const { requests, tokens } = decayed(use, now);
    return { requests: requests + 1, tokens: tokens + added, at: now };
  }

  #isHot(id: string, upstreams: number, now: number): boolean {
    const { requests, tokens } = decayed(this.#parts.get(id) ?? UNUSED, now);
    const total = decayed(this.#total, now).tokens;
    return requests >= MIN_REQUESTS && tokens * upstreams > total * HOT_FACTOR;
  }
}
