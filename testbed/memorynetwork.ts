/** Peer network inside one process, with links that can be cut. */
import { Err, failure, instanceOf, Ok } from '../src/kernel/index.js';
import { PeerNetwork } from '../src/link/index.js';

import type { Failure, Incarnation, InstanceName, Result } from '../src/kernel/index.js';
import type {
  PeerHandler,
  PeerMessage,
  PeerMessageOf,
  PeerMessageType,
  PeerRequest,
} from '../src/link/index.js';
import type { Instance } from '../src/store/index.js';

/** What becomes of a request between two daemons. */
export type LinkFate = 'answered' | 'lost-before' | 'lost-after';

type AnyHandler = (message: PeerMessage, from: Incarnation) => PeerMessage | Promise<PeerMessage>;

/** Connects the daemons of one test. */
export class MemoryHub {
  readonly #nodes = new Map<InstanceName, MemoryNetwork>();

  /**
   * Creates a hub.
   * @param fate - draws what becomes of the next request
   */
  constructor(readonly fate: () => LinkFate) {}

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

/** Network of one daemon. */
export class MemoryNetwork extends PeerNetwork {
  readonly #handlers = new Map<PeerMessageType, AnyHandler>();

  /**
   * Creates the network of one daemon.
   * @param self - its incarnation
   * @param hub - connects it to the others
   */
  constructor(
    readonly self: Incarnation,
    private readonly hub: MemoryHub,
  ) {
    super();
  }

  override async request<Reply extends PeerMessageType>({
    to,
    body,
  }: PeerRequest<Reply>): Promise<Result<PeerMessageOf<Reply>, Failure>> {
    const fate = this.hub.fate();
    const peer = this.hub.node(to);
    if (!peer || fate === 'lost-before') return Err(failure('peer-unreachable', to));
    const reply = await peer.receive(body, this.self);
    if (!reply || fate === 'lost-after') return Err(failure('peer-unreachable', to));
    return Ok(reply as PeerMessageOf<Reply>);
  }

  override handle<Type extends PeerMessageType>(type: Type, handler: PeerHandler<Type>): void {
    this.#handlers.set(type, handler as unknown as AnyHandler);
  }

  override peers(): readonly Instance[] {
    return this.hub.instances
      .filter((name) => name !== instanceOf(this.self))
      .map((name) => ({ name, dataCentre: 'x', peerAddress: '', state: 'live' }));
  }

  override incarnationOf(instance: InstanceName): Incarnation | undefined {
    return this.hub.node(instance)?.self;
  }

  /**
   * Answers a request of a peer.
   * @param body - the request
   * @param from - incarnation of the peer
   * @returns the reply; undefined for none
   */
  receive(body: PeerMessage, from: Incarnation): PeerMessage | Promise<PeerMessage> | undefined {
    return this.#handlers.get(body.type)?.(body, from);
  }
}
