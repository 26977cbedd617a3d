/** Peer network over ws: links are dialled when first needed and replaced when lost. */
import { Err, failure, instanceOf, Ok } from '../kernel/index.js';
import { PeerLink } from './peerlink.js';
import { PeerNetwork } from './peernetwork.js';
import { PeerListener } from './peerlistener.js';

import type { Failure, Incarnation, InstanceName, Result } from '../kernel/index.js';
import type { Instance } from '../store/index.js';
import type { Recorder } from '../telemetry/index.js';
import type { Directory } from './directory.js';
import type { PeerMessage, PeerMessageOf, PeerMessageType } from './messages.js';
import type { PeerHandler, PeerRequest } from './peernetwork.js';

/** First delay before a lost link is dialled again, in milliseconds. */
const FIRST_DELAY_MS = 50;

/** Longest delay before a lost link is dialled again, in milliseconds. */
const MAX_DELAY_MS = 2_000;

/** What the network of one daemon needs. */
export interface NetworkConfig {
  readonly self: Incarnation;
  readonly fleetKey: string;
  readonly host: string;
  readonly port: number;
  readonly directory: Directory;
  readonly recorder: Recorder;
}

/** A link and when it may be dialled again. */
interface Slot {
  link: PeerLink | undefined;
  incarnation: Incarnation | undefined;
  failures: number;
  retryAt: number;
}

type AnyHandler = (message: PeerMessage, from: Incarnation) => PeerMessage | Promise<PeerMessage>;

/** Owns the links of one daemon. */
export class WsPeerNetwork extends PeerNetwork {
  readonly #slots = new Map<InstanceName, Slot>();

  readonly #handlers = new Map<PeerMessageType, AnyHandler>();

  #listener: PeerListener | undefined;

  /**
   * Creates the network; nothing is opened before "start".
   * @param cfg - identity, address, directory and recorder
   */
  constructor(private readonly cfg: NetworkConfig) {
    super();
  }

  /** Opens the listener. */
  start(): void {
    const { self, fleetKey, host, port, directory, recorder } = this.cfg;
    this.#listener = new PeerListener({
      self,
      fleetKey,
      host,
      port,
      clock: recorder.clock,
      recorder,
      isKnown: (instance) => directory.knows(instance),
      answer: (body, from) => this.#answer(body, from),
    });
  }

  /** Closes the listener and every link. */
  async stop(): Promise<void> {
    this.#slots.forEach(({ link }) => link?.close());
    await this.#listener?.close();
  }

  override peers(): readonly Instance[] {
    const own = instanceOf(this.cfg.self);
    return this.cfg.directory.instances().filter(({ name }) => name !== own);
  }

  override incarnationOf(instance: InstanceName): Incarnation | undefined {
    return this.#slots.get(instance)?.incarnation;
  }

  override handle<Type extends PeerMessageType>(type: Type, handler: PeerHandler<Type>): void {
    this.#handlers.set(type, handler as unknown as AnyHandler);
  }

  override async request<Reply extends PeerMessageType>(
    req: PeerRequest<Reply>,
  ): Promise<Result<PeerMessageOf<Reply>, Failure>> {
    const link = this.#linkTo(req.to);
    if (!link) return Err(failure('peer-unreachable', req.to));
    const answer = await link.request(req.body, req.timeoutMs);
    if (answer.err) return answer;
    if (answer.val.type !== req.reply) return Err(failure('peer-unreachable', req.to));
    return Ok(answer.val as PeerMessageOf<Reply>);
  }

  async #answer(body: PeerMessage, from: Incarnation): Promise<PeerMessage | undefined> {
    try {
      return await this.#handlers.get(body.type)?.(body, from);
    } catch (err) {
      this.cfg.recorder.record('messageRejected', { peer: from, detail: String(err) });
      return undefined;
    }
  }

  #slotOf(instance: InstanceName): Slot {
    const found = this.#slots.get(instance);
    if (found) return found;
    const slot: Slot = { link: undefined, incarnation: undefined, failures: 0, retryAt: 0 };
    this.#slots.set(instance, slot);
    return slot;
  }

  #linkTo(instance: InstanceName): PeerLink | undefined {
    const slot = this.#slotOf(instance);
    if (slot.link) return slot.link;
    const peer = this.peers().find(({ name }) => name === instance);
    if (!peer || performance.now() < slot.retryAt) return undefined;
    slot.link = this.#dial(peer, slot);
    return slot.link;
  }

  #dial(peer: Instance, slot: Slot): PeerLink {
    const { self, fleetKey, recorder } = this.cfg;
    return new PeerLink({
      self,
      fleetKey,
      peer: peer.name,
      address: peer.peerAddress,
      clock: recorder.clock,
      recorder,
      onOpen: (incarnation) => this.#opened(slot, incarnation),
      onClose: () => this.#lost(slot, peer.name),
    });
  }

  #opened(slot: Slot, incarnation: Incarnation): void {
    const state = slot;
    state.incarnation = incarnation;
    state.failures = 0;
    this.cfg.recorder.record('linkOpened', { peer: incarnation });
  }

  #lost(slot: Slot, peer: InstanceName): void {
    const state = slot;
    const ceiling = Math.min(MAX_DELAY_MS, FIRST_DELAY_MS * 2 ** slot.failures);
    state.link = undefined;
    state.failures += 1;
    state.retryAt = performance.now() + ceiling * (0.5 + Math.random() / 2);
    this.cfg.recorder.record('linkClosed', { peer });
  }
}
