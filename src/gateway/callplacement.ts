/** Places a request on an upstream, with a permit if that upstream names a limit or is cold. */
import type { Clock } from '../kernel/index.js';
import type { Placement } from '../route/index.js';
import type { LimitPermits } from './limitpermits.js';
import type { KnownUpstream, PlacementQuery, UpstreamPool } from './upstreampool.js';
import type { UpstreamRegistry } from './upstreams.js';

/** Number of permits that are asked for; then only upstreams without a limit are considered. */
const MAX_PERMIT_ASKS = 3;

/** Dependencies of the placement. */
export interface PlacementContext {
  readonly upstreamPool: UpstreamPool;
  readonly registry: UpstreamRegistry;
  readonly limitPermits: LimitPermits;
  readonly clock: Clock;
  /** Random numbers in [0, 1). */
  readonly random: () => number;
}

/** Upstream that was chosen for a request. */
export interface PlacedCall {
  readonly placement: Placement;
  readonly upstream: KnownUpstream;
  /** Time until which it may be sent if the upstream names a limit or is cold, in milliseconds; negative infinity for no permit. */
  readonly permittedUntil: number;
}

/**
 * Places a request.
 * @param ctx - dependencies
 * @param query - the request, and which upstreams may receive it
 * @param asked - number of permits that were denied
 * @returns the upstream, undefined if none may receive it now; at once unless a permit is needed
 */
export function placeCall(
  ctx: PlacementContext,
  query: PlacementQuery,
  asked = 0,
): PlacedCall | undefined | Promise<PlacedCall | undefined> {
  const isUnlimitedOnly = asked >= MAX_PERMIT_ASKS;
  const found = ctx.upstreamPool.place({ ...query, isUnlimitedOnly }, ctx.random());
  if (!found) return undefined;
  const { record } = found.upstream;
  if (!ctx.registry.limits.allowanceOf(record, ctx.clock.now()))
    return { ...found, permittedUntil: Number.NEGATIVE_INFINITY };
  return ctx.limitPermits
    .acquire(record)
    .then((permittedUntil) =>
      permittedUntil === undefined
        ? placeCall(ctx, query, asked + 1)
        : { ...found, permittedUntil },
    );
}
