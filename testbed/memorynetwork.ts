/** In-process peer network whose requests and replies can get lost. */
import { setTimeout as sleep } from 'node:timers/promises';

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

/** Outcome of a request between two daemons; "lost-after" loses only the reply. */
export type DeliveryOutcome = 'answered' | 'lost-before' | 'lost-after';

type AnyHandler = (message: PeerMessage, from: Incarnation) => PeerMessage | Promise<PeerMessage>;

/** The daemons of one test, and the faults between them. */
export interface PeerDirectory {
  /** Returns the outcome of the next request. */
  readonly nextOutcome: () => DeliveryOutcome;
  /** Delay of every reply, in milliseconds. */
  readonly delayMs: number;
  readonly instances: readonly InstanceName[];
  readonly dataCentreOf: (instance: InstanceName) => string;
  readonly node: (instance: InstanceName) => PeerNode | undefined;
  readonly isCut: (self: Incarnation) => boolean;
}

/** Receiving side of a daemon. */
export interface PeerNode {
  readonly self: Incarnation;
  readonly receive: (
    body: PeerMessage,
    from: Incarnation,
  ) => PeerMessage | Promise<PeerMessage> | undefined;
}

/** Network of one daemon. */
export class MemoryNetwork extends PeerNetwork implements PeerNode {
  readonly #handlers = new Map<PeerMessageType, AnyHandler>();

  /**
   * Creates the network of one daemon.
   * @param self - incarnation of the daemon
   * @param hub - finds the other daemons and sets the faults
   */
  constructor(
    readonly self: Incarnation,
    private readonly hub: PeerDirectory,
  ) {
    super();
  }

  override async request<Reply extends PeerMessageType>({
    to,
    body,
    timeoutMs,
  }: PeerRequest<Reply>): Promise<Result<PeerMessageOf<Reply>, Failure>> {
    const fate = this.hub.nextOutcome();
    const peer = this.hub.node(to);
    const isCut = this.hub.isCut(this.self) || (peer !== undefined && this.hub.isCut(peer.self));
    if (!peer || isCut || fate === 'lost-before') return Err(failure('peer-unreachable', to));
    // If the handler throws, the sender gets no reply.
    const reply = await Promise.resolve()
      .then(() => peer.receive(body, this.self))
      .catch(() => undefined);
    const { delayMs } = this.hub;
    if (delayMs > 0) await sleep(Math.min(delayMs, timeoutMs));
    const isLost = fate === 'lost-after' || delayMs > timeoutMs;
    if (!reply || isLost) return Err(failure('peer-unreachable', to));
    return Ok(reply as PeerMessageOf<Reply>);
  }

  override handle<Type extends PeerMessageType>(type: Type, handler: PeerHandler<Type>): void {
    this.#handlers.set(type, handler as unknown as AnyHandler);
  }

  override peers(): readonly Instance[] {
    return this.hub.instances
      .filter((name) => name !== instanceOf(this.self))
      .map((name) => {
        const dataCentre = this.hub.dataCentreOf(name);
        return { name, dataCentre, peerAddress: '', state: 'live' };
      });
  }

  override incarnationOf(instance: InstanceName): Incarnation | undefined {
    return this.hub.node(instance)?.self;
  }

  /**
   * Calls the handler for a request of a peer.
   * @param body - the request
   * @param from - incarnation of the peer
   * @returns the reply; undefined if there is no handler for the message type
   */
  receive(body: PeerMessage, from: Incarnation): PeerMessage | Promise<PeerMessage> | undefined {
    return this.#handlers.get(body.type)?.(body, from);
  }
}
