/** Peer network over WebSocket: links are opened on demand and replaced after they have closed. */
import { Err, failure, instanceOf, Ok } from '../kernel/index.js';
import { PeerLink } from './peerlink.js';
import { PeerNetwork } from './peernetwork.js';
import { PeerListener } from './peerlistener.js';

import type { Failure, Incarnation, InstanceName, Result } from '../kernel/index.js';
import type { Instance } from '../store/index.js';
import type { Recorder } from '../telemetry/index.js';
import type { InstanceDirectory } from './instancedirectory.js';
import type { PeerMessage, PeerMessageOf, PeerMessageType } from './messages.js';
import type { PeerHandler, PeerRequest } from './peernetwork.js';

/** Delay before the first attempt to reopen a closed link, in milliseconds; it doubles with each failure. */
const FIRST_REDIAL_DELAY_MS = 50;

/** Longest delay between attempts to reopen a link, in milliseconds. */
const MAX_REDIAL_DELAY_MS = 2_000;

/** Configuration of the network of one daemon. */
export interface NetworkConfig {
  readonly self: Incarnation;
  /** Secret key that all daemons share; read for each link, as it may be replaced. */
  readonly fleetKey: string;
  /** Called when a link could not be opened or accepted, possibly because the keys of both sides differ. */
  readonly onRefused?: () => void;
  readonly host: string;
  readonly port: number;
  readonly directory: InstanceDirectory;
  readonly recorder: Recorder;
}

/** Current link to a peer, the peer's last known incarnation, and when a closed link may be reopened. */
interface PeerConnection {
  link: PeerLink | undefined;
  incarnation: Incarnation | undefined;
  failures: number;
  redialAt: number;
}

type AnyHandler = (message: PeerMessage, from: Incarnation) => PeerMessage | Promise<PeerMessage>;

/** Owns the listener and the outgoing links of one daemon. */
export class WsPeerNetwork extends PeerNetwork {
  readonly #connections = new Map<InstanceName, PeerConnection>();

  readonly #handlers = new Map<PeerMessageType, AnyHandler>();

  #listener: PeerListener | undefined;

  /**
   * Creates the network; the listener is opened by "start".
   * @param cfg - identity, address, directory and recorder
   */
  constructor(private readonly cfg: NetworkConfig) {
    super();
  }

  /** Opens the listener. */
  start(): void {
    const { cfg } = this;
    const { self, host, port, directory, recorder } = cfg;
    this.#listener = new PeerListener({
      self,
      get fleetKey() {
        return cfg.fleetKey;
      },
      host,
      port,
      clock: recorder.clock,
      recorder,
      isListed: (instance) => directory.isMember(instance),
      handleRequest: (body, from) => this.#handleRequest(body, from),
      onRefused: () => cfg.onRefused?.(),
    });
  }

  /** Closes the listener and all links. */
  async stop(): Promise<void> {
    this.#connections.forEach(({ link }) => link?.close());
    await this.#listener?.close();
  }

  override peers(): readonly Instance[] {
    const own = instanceOf(this.cfg.self);
    return this.cfg.directory.instances().filter(({ name }) => name !== own);
  }

  override incarnationOf(instance: InstanceName): Incarnation | undefined {
    return this.#connections.get(instance)?.incarnation;
  }

  override handle<Type extends PeerMessageType>(type: Type, handler: PeerHandler<Type>): void {
    this.#handlers.set(type, handler as unknown as AnyHandler);
  }

  override async request<Reply extends PeerMessageType>(
    req: PeerRequest<Reply>,
  ): Promise<Result<PeerMessageOf<Reply>, Failure>> {
    const link = this.#linkTo(req.to);
    if (!link) return Err(failure('peer-unreachable', req.to));
    const received = await link.request(req.body, req.timeoutMs);
    if (received.err) return received;
    if (received.val.type !== req.reply) return Err(failure('peer-unreachable', req.to));
    return Ok(received.val as PeerMessageOf<Reply>);
  }

  async #handleRequest(body: PeerMessage, from: Incarnation): Promise<PeerMessage | undefined> {
    try {
      return await this.#handlers.get(body.type)?.(body, from);
    } catch (err) {
      this.cfg.recorder.record('messageRejected', { peer: from, detail: String(err) });
      return undefined;
    }
  }

  #connectionTo(instance: InstanceName): PeerConnection {
    const found = this.#connections.get(instance);
    if (found) return found;
    const created: PeerConnection = {
      link: undefined,
      incarnation: undefined,
      failures: 0,
      redialAt: 0,
    };
    this.#connections.set(instance, created);
    return created;
  }

  #linkTo(instance: InstanceName): PeerLink | undefined {
    const connection = this.#connectionTo(instance);
    if (connection.link) return connection.link;
    const peer = this.peers().find(({ name }) => name === instance);
    if (!peer || performance.now() < connection.redialAt) return undefined;
    try {
      connection.link = this.#dial(peer, connection);
    } catch (err) {
      this.#handleClose(connection, peer.name, String(err));
    }
    return connection.link;
  }

  #dial(peer: Instance, connection: PeerConnection): PeerLink {
    const { self, fleetKey, recorder } = this.cfg;
    return new PeerLink({
      self,
      fleetKey,
      peer: peer.name,
      address: peer.peerAddress,
      clock: recorder.clock,
      recorder,
      onOpen: (incarnation) => this.#handleOpen(connection, incarnation),
      onClose: () => this.#handleClose(connection, peer.name),
      onRefused: () => this.cfg.onRefused?.(),
    });
  }

  #handleOpen(connection: PeerConnection, incarnation: Incarnation): void {
    const state = connection;
    state.incarnation = incarnation;
    state.failures = 0;
    this.cfg.recorder.record('linkOpened', { peer: incarnation });
  }

  #handleClose(connection: PeerConnection, peer: InstanceName, detail?: string): void {
    const state = connection;
    const maxDelayMs = Math.min(
      MAX_REDIAL_DELAY_MS,
      FIRST_REDIAL_DELAY_MS * 2 ** connection.failures,
    );
    state.link = undefined;
    state.failures += 1;
    state.redialAt = performance.now() + maxDelayMs * (0.5 + Math.random() / 2);
    this.cfg.recorder.record('linkClosed', { peer, ...(detail !== undefined && { detail }) });
  }
}
