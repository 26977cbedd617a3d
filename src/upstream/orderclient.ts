/** Abstract client for orders to upstreams; only its subclasses know paths and fields. */
import type { Failure, Result } from '../kernel/index.js';

/** An order to an upstream. */
export interface FencedOrder {
  /** The same for every attempt at this order. */
  readonly id: string;
  readonly order: string;
  /** Rises with every sender; an upstream that checks it refuses a lower one than it has seen. */
  readonly fence: number;
}

/** What an upstream says about itself. */
export interface UpstreamState {
  /** Requests that are open there; null if the upstream does not say. */
  readonly open: number | null;
  /** Ids of the orders that were carried out. */
  readonly orders: readonly string[];
}

/** Gives orders to upstreams and reads back what came of them. */
export abstract class OrderClient {
  /**
   * Gives an order.
   * @param url - base address of the upstream
   * @param order - the order
   * @param timeoutMs - time after which the order is no longer sent or waited for
   * @returns nothing if it was carried out; otherwise it may have been, unless "not-run" is stated
   */
  abstract send(url: string, order: FencedOrder, timeoutMs: number): Promise<Result<void, Failure>>;

  /**
   * Makes lower fencing numbers invalid at an upstream that checks them.
   * @param url - base address of the upstream
   * @param fence - the new number
   * @returns nothing once the upstream has taken the number
   */
  abstract raiseFence(url: string, fence: number): Promise<Result<void, Failure>>;

  /**
   * Reads the state of an upstream.
   * @param url - base address of the upstream
   * @returns its state
   */
  abstract state(url: string): Promise<Result<UpstreamState, Failure>>;
}
