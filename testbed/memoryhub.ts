/** Registry of the in-memory networks of one test. */
import { instanceOf } from '../src/kernel/index.js';
import { MemoryNetwork } from './memorynetwork.js';

import type { Incarnation, InstanceName } from '../src/kernel/index.js';
import type { DeliveryOutcome, PeerDirectory } from './memorynetwork.js';

/** Finds the in-memory network of each running daemon. */
export class MemoryHub implements PeerDirectory {
  /** Delay of every reply, in milliseconds. */
  delayMs = 0;

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
