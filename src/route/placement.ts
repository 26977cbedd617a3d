/**
 * Placement of one request: the upstream that will answer it first, by what this daemon knows.
 *
 * Answers the loads: long prompts beside short streams (prompt tokens that wait count as time),
 * many requests about one subject (a home for each shared prompt, left when it is behind), a slow,
 * failing or silent upstream (its expected delay), and the loss of upstreams (no fixed shares).
 */
import { hash32 } from '../kernel/index.js';
import { mix32 } from './digest.js';

/** What a placement knows of an upstream. */
export interface PlacementCandidate {
  readonly id: string;
  /** Whether it is in the data centre of this daemon. */
  readonly isNear: boolean;
  readonly capacity: number;
  /** Requests of all daemons there, as far as known. */
  readonly load: number;
  /** Requests known to wait there for a slot. */
  readonly waiting: number;
  /** Prompt tokens that it still has to read. */
  readonly pendingTokens: number;
  /** Tokens of its memory that are free; infinity where it has none of its own. */
  readonly freeTokens: number;
  /** Time for which it owes a sign of life, in milliseconds. */
  readonly silentMs: number;
  /** Share of its latest answers that were failures, 0 to 1. */
  readonly failedShare: number;
  readonly isEjected: boolean;
  /** Time for which it stays slow after its start, in milliseconds. */
  readonly warmupMs: number;
}

/** A part of a prompt that other requests may share. */
export interface SharedPart {
  readonly id: string;
  readonly tokens: number;
}

/** A request that is to be placed. */
export interface PlacementRequest {
  /** Shared parts of the prompt, the first one first; empty for plain requests. */
  readonly sharedParts: readonly SharedPart[];
  /** Prompt tokens of the shared parts. */
  readonly sharedTokens: number;
  /** All prompt tokens; 0 for plain requests. */
  readonly promptTokens: number;
  /** Tokens of memory that it takes at most. */
  readonly memoryTokens: number;
}

/** Speeds and weights that a placement counts with. */
export interface PlacementOptions {
  /** Prompt tokens that an upstream reads in a millisecond. */
  readonly tokensPerMs: number;
  /**
   * Price of reading shared tokens at a second upstream, as a multiple of the time that it takes: they
   * displace the prompts of others, which the answer of this request does not show.
   */
  readonly rereadWeight: number;
  /** Delay that a request more causes the others, in milliseconds. */
  readonly loadMsPerRequest: number;
  /** Time that a request which has to wait for a slot waits, in milliseconds. */
  readonly slotWaitMs: number;
  /** Price of leaving the data centre, in milliseconds of delay. */
  readonly remotePenaltyMs: number;
  /** Delay that a certain failure stands for, in milliseconds. */
  readonly failurePenaltyMs: number;
  /** Silence that is usual before an answer, in milliseconds. */
  readonly usualSilenceMs: number;
}

/** Delay that an ejected upstream stands for, in milliseconds: it is the last resort. */
const EJECTED_PENALTY_MS = 10_000;

/** Share of the shared prompt that its home is expected to hold already. */
const PREFERRED_CACHED_SHARE = 0.9;

/** Seed of a home within a data centre. */
const AFFINITY_SEED = 7;

/** Share of the shared tokens that the part which decides the home must cover, all before it included. */
const AFFINITY_PART_COVERAGE = 0.5;

/**
 * Finds the part that decides the home: the first one that, with all before it, makes up most of
 * what is shared. Deeper parts then follow it to the same upstream, so that it is read only there.
 */
function affinityPart({ sharedParts, sharedTokens }: PlacementRequest): string | undefined {
  let covered = 0;
  return sharedParts.find(({ tokens }) => {
    covered += tokens;
    return covered >= sharedTokens * AFFINITY_PART_COVERAGE;
  })?.id;
}

/** Home of a shared prompt by rendezvous hashing: each daemon finds the same. */
function preferredUpstream(
  request: PlacementRequest,
  candidates: readonly PlacementCandidate[],
): string | undefined {
  const part = affinityPart(request);
  if (part === undefined) return undefined;
  const key = hash32(part, AFFINITY_SEED);
  const scored = candidates
    .filter(({ isEjected }) => !isEjected)
    .map(({ id }) => ({ id, score: mix32(key, hash32(id)) }));
  return scored.sort((one, other) => other.score - one.score)[0]?.id;
}

/**
 * Estimates the delay until an upstream begins to answer a request.
 * @param candidate - the upstream
 * @param request - the request
 * @param isPreferred - whether the upstream is the home of its shared prompt
 * @param options - speeds and weights
 * @returns milliseconds
 */
export function expectedDelayMs(
  candidate: PlacementCandidate,
  request: PlacementRequest,
  isPreferred: boolean,
  options: PlacementOptions,
): number {
  const { load, capacity, waiting, freeTokens, isNear, isEjected, silentMs } = candidate;
  const cached = isPreferred ? request.sharedTokens * PREFERRED_CACHED_SHARE : 0;
  const rereadTokens = (request.sharedTokens - cached) * options.rereadWeight;
  const tokens = candidate.pendingTokens + request.promptTokens - cached + rereadTokens;
  const readMs = tokens / options.tokensPerMs;
  const waitingRequests = Math.max(0, load + 1 - capacity) + waiting;
  const queueMs = (waitingRequests / Math.max(1, capacity)) * options.slotWaitMs;
  const memoryWaitMs = request.memoryTokens > freeTokens ? options.slotWaitMs : 0;
  const silenceMs = Math.max(0, silentMs - options.usualSilenceMs);
  const failureMs = candidate.failedShare * options.failurePenaltyMs;
  const remoteMs = isNear ? 0 : options.remotePenaltyMs;
  const ejectedMs = isEjected ? EJECTED_PENALTY_MS : 0;
  const warmupWaitMs = candidate.warmupMs > 0 ? options.slotWaitMs : 0;
  const loadMs = load * options.loadMsPerRequest;
  return (
    readMs +
    loadMs +
    queueMs +
    memoryWaitMs +
    silenceMs +
    failureMs +
    remoteMs +
    ejectedMs +
    warmupWaitMs
  );
}

/** Where a request goes, and what to expect there. */
export interface Placement {
  readonly id: string;
  readonly delayMs: number;
  /** Prompt tokens that the upstream probably has to read. */
  readonly uncachedTokens: number;
}

/**
 * Chooses the upstream of a request.
 * @param candidates - upstreams that may take it
 * @param request - the request
 * @param options - speeds and weights
 * @param draw - random number in [0, 1), breaks ties
 * @returns the upstream with the least expected delay; undefined without candidates
 */
export function placeRequest(
  candidates: readonly PlacementCandidate[],
  request: PlacementRequest,
  options: PlacementOptions,
  draw: number,
): Placement | undefined {
  const preferred = preferredUpstream(request, candidates);
  const offset = Math.floor(draw * candidates.length);
  let best: Placement | undefined;
  candidates.forEach((_, index) => {
    const candidate = candidates[(index + offset) % candidates.length];
    if (!candidate) return;
    const isPreferred = candidate.id === preferred;
    const delayMs = expectedDelayMs(candidate, request, isPreferred, options);
    if (best && best.delayMs <= delayMs) return;
    const cached = isPreferred ? request.sharedTokens * PREFERRED_CACHED_SHARE : 0;
    best = { id: candidate.id, delayMs, uncachedTokens: request.promptTokens - cached };
  });
  return best;
}
