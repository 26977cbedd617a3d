/**
 * Placement of one request: selects the upstream with the least expected delay, as far as this daemon
 * knows.
 *
 * Covers these kinds of load: long prompts beside short streams (pending prompt tokens count as delay),
 * many requests with the same shared prompt (each shared prompt has a preferred upstream, which is
 * passed over when its backlog is too long), slow, failing or unresponsive upstreams (penalties on the
 * expected delay), and the loss of upstreams (no upstream has a fixed share of the requests).
 */
import { hash32 } from '../kernel/index.js';
import { mix32 } from './digest.js';

/** An upstream that may receive the request, with its current state. */
export interface PlacementCandidate {
  readonly id: string;
  /** Hash of its id, for rendezvous hashing. */
  readonly seed: number;
  /** Whether it is in the same data centre as this daemon. */
  readonly isNear: boolean;
  /** Requests that it processes at once. */
  readonly capacity: number;
  /** Estimated open requests of all daemons at the upstream. */
  readonly load: number;
  /** Requests that wait at the upstream for a slot, as last reported. */
  readonly waiting: number;
  /** Prompt tokens that it has received but not yet processed. */
  readonly pendingTokens: number;
  /** Free token capacity of its memory; infinity for an upstream without token memory. */
  readonly freeTokens: number;
  /** Time for which it has sent nothing while requests are unanswered, in milliseconds. */
  readonly silentMs: number;
  /** Moving average of its failed answers, as a share from 0 to 1. */
  readonly failedShare: number;
  readonly isEjected: boolean;
  /** Remaining warm-up time after its start, during which it is slow, in milliseconds. */
  readonly warmupMs: number;
  /** Time that work takes there, as a factor of the usual time; default 1. */
  readonly pace?: number;
}

/** A part of a prompt that other requests may have in common. */
export interface SharedPart {
  readonly id: string;
  readonly tokens: number;
}

/** A request to place. */
export interface PlacementRequest {
  /** Shared parts in prompt order; empty for requests without a prompt. */
  readonly sharedParts: readonly SharedPart[];
  /**
   * Shared part that determines the preferred upstream; undefined for a request without shared parts. It is chosen by
   * `HotParts`.
   */
  readonly affinityPart?: string | undefined;
  /** Total prompt tokens of the shared parts. */
  readonly sharedTokens: number;
  /** Total prompt tokens; 0 for requests without a prompt. */
  readonly promptTokens: number;
  /** Maximum token memory that it uses at the upstream. */
  readonly memoryTokens: number;
  /** Usual time that its work takes beside its prompt, in milliseconds; default 0. */
  readonly usualMs?: number;
}

/** Speeds and weights of the delay estimate. */
export interface PlacementOptions {
  /** Prompt tokens that an upstream processes per millisecond. */
  readonly tokensPerMs: number;
  /**
   * Cost of processing shared tokens at an upstream other than the preferred one, as a multiple of
   * their processing time: they also delay the prompts of other requests there, a cost that the delay
   * of this request does not include.
   */
  readonly rereadWeight: number;
  /** Delay that each open request adds to the others, in milliseconds. */
  readonly loadMsPerRequest: number;
  /** Expected wait of a request for a slot of a full upstream, in milliseconds. */
  readonly slotWaitMs: number;
  /** Penalty for an upstream in another data centre, in milliseconds. */
  readonly remotePenaltyMs: number;
  /** Penalty for an upstream that fails every request, in milliseconds; scaled by the failed share. */
  readonly failurePenaltyMs: number;
  /** Usual time before an answer begins, in milliseconds; only a longer wait counts as a delay. */
  readonly usualSilenceMs: number;
  /** Whether the pace of upstreams is taken into account; default false. */
  readonly usesPace?: boolean;
}

/** Penalty for an ejected upstream, in milliseconds; it is chosen only as a last resort. */
const EJECTED_PENALTY_MS = 10_000;

/** Expected share of the shared tokens that the preferred upstream has cached. */
const PREFERRED_CACHED_SHARE = 0.9;

/** Seed of the hash of the affinity part, for rendezvous hashing. */
const AFFINITY_SEED = 7;

/** Finds the preferred upstream of a shared prompt by rendezvous hashing; equal in every daemon. */
function preferredUpstream(
  part: string | undefined,
  candidates: readonly PlacementCandidate[],
): string | undefined {
  if (part === undefined) return undefined;
  const key = hash32(part, AFFINITY_SEED);
  const scored = candidates
    .filter(({ isEjected }) => !isEjected)
    .map(({ id, seed }) => ({ id, score: mix32(key, seed) }));
  return scored.sort((one, other) => other.score - one.score)[0]?.id;
}

/** Wait of a request for a slot, in milliseconds. */
function queueDelayMs(
  { load, capacity, waiting }: PlacementCandidate,
  { slotWaitMs }: PlacementOptions,
): number {
  const waitingRequests = Math.max(0, load + 1 - capacity) + waiting;
  return (waitingRequests / Math.max(1, capacity)) * slotWaitMs;
}

/**
 * Estimates the time until an upstream of the usual pace begins to answer a request, without penalties.
 * @param candidate - the upstream
 * @param uncachedTokens - prompt tokens of the request that it has to process
 * @param options - speeds and weights
 * @returns milliseconds
 */
export function expectedWorkMs(
  candidate: PlacementCandidate,
  uncachedTokens: number,
  options: PlacementOptions,
): number {
  const readMs = (candidate.pendingTokens + uncachedTokens) / options.tokensPerMs;
  const loadMs = candidate.load * options.loadMsPerRequest;
  return readMs + loadMs + queueDelayMs(candidate, options);
}

/**
 * Estimates the delay until an upstream begins to answer a request, penalties included.
 * @param candidate - the upstream
 * @param request - the request
 * @param isPreferred - whether it is the preferred upstream of the shared prompt
 * @param options - speeds and weights
 * @returns milliseconds
 */
export function expectedDelayMs(
  candidate: PlacementCandidate,
  request: PlacementRequest,
  isPreferred: boolean,
  options: PlacementOptions,
): number {
  const { load, freeTokens, isNear, isEjected, silentMs, pace = 1 } = candidate;
  const cached = isPreferred ? request.sharedTokens * PREFERRED_CACHED_SHARE : 0;
  const rereadTokens = (request.sharedTokens - cached) * options.rereadWeight;
  const tokens = candidate.pendingTokens + request.promptTokens - cached + rereadTokens;
  const readMs = tokens / options.tokensPerMs;
  const queueMs = queueDelayMs(candidate, options);
  const memoryWaitMs = request.memoryTokens > freeTokens ? options.slotWaitMs : 0;
  const silenceMs = Math.max(0, silentMs - options.usualSilenceMs);
  const failureMs = candidate.failedShare * options.failurePenaltyMs;
  const remoteMs = isNear ? 0 : options.remotePenaltyMs;
  const ejectedMs = isEjected ? EJECTED_PENALTY_MS : 0;
  const warmupWaitMs = candidate.warmupMs > 0 ? options.slotWaitMs : 0;
  const loadMs = load * options.loadMsPerRequest;
  const workMs = (readMs + loadMs + queueMs + (request.usualMs ?? 0)) * pace;
  return workMs + memoryWaitMs + silenceMs + failureMs + remoteMs + ejectedMs + warmupWaitMs;
}

/** The selected upstream of a request, with estimates. */
export interface Placement {
  readonly id: string;
  readonly delayMs: number;
  /** Prompt tokens that are probably not cached at the upstream and have to be processed. */
  readonly uncachedTokens: number;
  /** Expected time until the answer begins at the usual pace, without penalties, in milliseconds. */
  readonly workMs: number;
  /** Time that work takes at the upstream, as a factor of the usual time. */
  readonly pace: number;
}

/**
 * Chooses the upstream of a request.
 * @param candidates - upstreams that may receive it
 * @param request - the request
 * @param options - speeds and weights
 * @param draw - random number in [0, 1) that breaks ties
 * @returns the upstream with the least expected delay; undefined if there are no candidates
 */
export function placeRequest(
  candidates: readonly PlacementCandidate[],
  request: PlacementRequest,
  options: PlacementOptions,
  draw: number,
): Placement | undefined {
  const preferred = preferredUpstream(request.affinityPart, candidates);
  const offset = Math.floor(draw * candidates.length);
  let best: Placement | undefined;
  candidates.forEach((_, index) => {
    const candidate = candidates[(index + offset) % candidates.length];
    if (!candidate) return;
    const isPreferred = candidate.id === preferred;
    const delayMs = expectedDelayMs(candidate, request, isPreferred, options);
    if (best && best.delayMs <= delayMs) return;
    const cached = isPreferred ? request.sharedTokens * PREFERRED_CACHED_SHARE : 0;
    const uncachedTokens = request.promptTokens - cached;
    const workMs = expectedWorkMs(candidate, uncachedTokens, options);
    const { id, pace = 1 } = candidate;
    best = { id, delayMs, uncachedTokens, workMs, pace };
  });
  return best;
}
