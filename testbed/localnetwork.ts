/** In-process peer network that calls the handlers of the peer after a fixed delay. */
import { setTimeout as delay } from 'node:timers/promises';

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

type AnyHandler = (message: PeerMessage, from: Incarnation) => PeerMessage | Promise<PeerMessage>;

/** Network of one daemon, without sockets. */
export class LocalNetwork extends PeerNetwork {
  readonly #handlers = new Map<PeerMessageType, AnyHandler>();

  readonly #peers: LocalNetwork[] = [];

  /** Types of the requests that this daemon has sent, in order. */
  readonly sent: PeerMessageType[] = [];

  /** Peers to which requests of this daemon fail; requests from them still arrive. */
  readonly blockedPeers = new Set<InstanceName>();

  /** Whether all requests of this daemon fail; requests from peers still arrive. */
  isIsolated = false;

  /**
   * Creates the network of one daemon.
   * @param self - incarnation of the daemon
   * @param dataCentre - data centre of the daemon
   * @param oneWayDelayMs - delay of each request and each reply, in milliseconds
   */
  constructor(
    private readonly self: Incarnation,
    private readonly dataCentre: string,
    private readonly oneWayDelayMs: number,
  ) {
    super();
  }

  /**
   * Adds a peer that this daemon can reach; the peer needs a connect() of its own to reach this daemon.
   * @param peer - network of the other daemon
   */
  connect(peer: LocalNetwork): void {
    this.#peers.push(peer);
  }

  override async request<Reply extends PeerMessageType>(
    req: PeerRequest<Reply>,
  ): Promise<Result<PeerMessageOf<Reply>, Failure>> {
    this.sent.push(req.body.type);
    if (this.isIsolated || this.blockedPeers.has(req.to))
      return Err(failure('peer-unreachable', req.to));
    const peer = this.#peers.find(({ self }) => instanceOf(self) === req.to);
    await delay(this.oneWayDelayMs);
    const reply = await peer?.answer(req.body, this.self);
    await delay(this.oneWayDelayMs);
    if (reply?.type !== req.reply) return Err(failure('peer-unreachable', req.to));
    return Ok(reply as PeerMessageOf<Reply>);
  }

  override handle<Type extends PeerMessageType>(type: Type, handler: PeerHandler<Type>): void {
    this.#handlers.set(type, handler as unknown as AnyHandler);
  }

  override peers(): readonly Instance[] {
    return this.#peers.map(({ self, dataCentre }) => ({
      name: instanceOf(self),
      dataCentre,
      peerAddress: '127.0.0.1:1',
      state: 'live',
    }));
  }

  override incarnationOf(instance: InstanceName): Incarnation | undefined {
    return this.#peers.find(({ self }) => instanceOf(self) === instance)?.self;
  }

  /**
   * Calls the handler for a request of a peer.
   * @param body - the request
   * @param from - incarnation of the peer
   * @returns the reply; undefined if there is no handler for the message type
   */
  async answer(body: PeerMessage, from: Incarnation): Promise<PeerMessage | undefined> {
    return this.#handlers.get(body.type)?.(body, from);
  }
}
