/** Connects the in-memory networks of one test. */
import { instanceOf } from '../src/kernel/index.js';
import { MemoryNetwork } from './memorynetwork.js';

import type { Incarnation, InstanceName } from '../src/kernel/index.js';
import type { DeliveryOutcome, PeerDirectory } from './memorynetwork.js';

/** Connects the daemons of one test. */
export class MemoryHub implements PeerDirectory {
  delayMs = 0;

  readonly #nodes = new Map<InstanceName, MemoryNetwork>();

  /**
   * Creates a hub.
   * @param nextOutcome - draws what becomes of the next request
   * @param dataCentreOf - data centre of an instance; default the same for all
   */
  constructor(
    readonly nextOutcome: () => DeliveryOutcome,
    readonly dataCentreOf: (instance: InstanceName) => string = () => 'x',
  ) {}

  /**
   * Adds a daemon, in place of an earlier life of its instance.
   * @param self - its incarnation
   * @returns its network
   */
  join(self: Incarnation): MemoryNetwork {
    const node = new MemoryNetwork(self, this);
    this.#nodes.set(instanceOf(self), node);
    return node;
  }

  /**
   * Takes a daemon away.
   * @param self - its incarnation
   */
  leave(self: Incarnation): void {
    if (this.#nodes.get(instanceOf(self))?.self === self) this.#nodes.delete(instanceOf(self));
  }

  /**
   * Finds a daemon.
   * @param instance - its instance
   * @returns its network; undefined if it is not there
   */
  node(instance: InstanceName): MemoryNetwork | undefined {
    return this.#nodes.get(instance);
  }

  /** Instances that are there. */
  get instances(): readonly InstanceName[] {
    return [...this.#nodes.keys()];
  }
}
