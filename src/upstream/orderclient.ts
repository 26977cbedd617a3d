/** Abstract client for orders to upstreams; paths and field names are left to the subclasses. */
import type { Failure, Result } from '../kernel/index.js';

/** An order to an upstream, with the fencing token of its sender. */
export interface FencedOrder {
  /** Idempotency id: the same for every attempt to send this order. */
  readonly id: string;
  readonly order: string;
  /** Fencing token: higher for each new sender. An upstream that checks it refuses a lower one than it has seen. */
  readonly fence: number;
}

/** State that an upstream reports. */
export interface UpstreamState {
  /** Number of open requests; null if the upstream does not report it. */
  readonly open: number | null;
  /** Ids of the orders that were carried out. */
  readonly orders: readonly string[];
}

/** Sends orders to upstreams and reads which were carried out. */
export abstract class OrderClient {
  /**
   * Sends an order and waits until it is carried out.
   * @param url - base URL of the upstream
   * @param order - the order
   * @param timeoutMs - time limit for sending the order and waiting for the result, in milliseconds
   * @returns nothing if the order was carried out; otherwise a failure, after which it may still have been carried
   * out unless the outcome is "not-run"
   */
  abstract send(url: string, order: FencedOrder, timeoutMs: number): Promise<Result<void, Failure>>;

  /**
   * Raises the fencing token, so that an upstream that checks it refuses orders with a lower one.
   * @param url - base URL of the upstream
   * @param fence - the new token
   * @returns nothing if the upstream accepted the token
   */
  abstract raiseFence(url: string, fence: number): Promise<Result<void, Failure>>;

  /**
   * Reads the state of an upstream.
   * @param url - base URL of the upstream
   * @returns the state that it reports
   */
  abstract state(url: string): Promise<Result<UpstreamState, Failure>>;
}
