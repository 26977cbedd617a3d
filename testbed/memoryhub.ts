/** Registry of the in-memory networks of one test. */
import { instanceOf } from '../src/kernel/index.js';
import { MemoryNetwork } from './memorynetwork.js';

import type { Incarnation, InstanceName } from '../src/kernel/index.js';
import type { DeliveryOutcome, PeerDirectory } from './memorynetwork.js';

/** Finds the in-memory network of each running daemon. */
export class MemoryHub implements PeerDirectory {
  /** Delay of every reply, in milliseconds. */
  delayMs = 0;

  readonly #cut = new Set<Incarnation>();

  readonly #nodes = new Map<InstanceName, MemoryNetwork>();

  /**
   * Creates a hub.
   * @param nextOutcome - returns the outcome of the next request
   * @param dataCentreOf - returns the data centre of an instance; default the same for all
   */
  constructor(
    readonly nextOutcome: () => DeliveryOutcome,
    readonly dataCentreOf: (instance: InstanceName) => string = () => 'x',
  ) {}

  /**
   * Adds a daemon; an earlier incarnation of the same instance is replaced.
   * @param self - incarnation of the daemon
   * @returns network of the daemon
   */
  join(self: Incarnation): MemoryNetwork {
    const node = new MemoryNetwork(self, this);
    this.#nodes.set(instanceOf(self), node);
    return node;
  }

  /**
   * Removes a daemon, unless a newer incarnation has replaced it.
   * @param self - incarnation of the daemon
   */
  leave(self: Incarnation): void {
    if (this.#nodes.get(instanceOf(self))?.self === self) this.#nodes.delete(instanceOf(self));
  }

  /**
   * Cuts a daemon from all others, or connects it again.
   * @param self - incarnation of the daemon
   * @param isCut - whether it is cut
   */
  setCut(self: Incarnation, isCut: boolean): void {
    if (isCut) this.#cut.add(self);
    else this.#cut.delete(self);
  }

  /**
   * Returns whether a daemon is cut from all others.
   * @param self - incarnation of the daemon
   * @returns whether no message of it arrives
   */
  isCut(self: Incarnation): boolean {
    return this.#cut.has(self);
  }

  /**
   * Finds the network of a daemon.
   * @param instance - instance name
   * @returns the network; undefined if the instance is not connected
   */
  node(instance: InstanceName): MemoryNetwork | undefined {
    return this.#nodes.get(instance);
  }

  /** Instances that are connected. */
  get instances(): readonly InstanceName[] {
    return [...this.#nodes.keys()];
  }
}
