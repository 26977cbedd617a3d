/** Accepting side of a peer link: authenticates the connecting daemon and answers its requests. */
import { randomBytes } from 'node:crypto';

import type { WebSocket } from 'ws';
import type { Readable } from 'node:stream';
import { instanceOf, KIB_BYTES } from '../kernel/index.js';
import { computeProof, equalProofs } from './frames.js';
import { Heartbeat } from './heartbeat.js';
import { decodeFrame, encodeFrame } from './peerlink.js';

import type { HybridClock, Incarnation } from '../kernel/index.js';
import type { Recorder } from '../telemetry/index.js';
import type { Frame } from './frames.js';
import type { PeerMessage } from './messages.js';

const NONCE_BYTES = 16;

/** Most that a connecting daemon may send before it has proved that it knows the key, in bytes. */
const MAX_UNPROVEN_BYTES = 8 * KIB_BYTES;

/** Configuration of a listener. */
export interface ListenerConfig {
  readonly self: Incarnation;
  readonly fleetKey: string;
  readonly host: string;
  readonly port: number;
  readonly clock: HybridClock;
  readonly recorder: Recorder;
  /** Whether the instance of a connecting daemon belongs to the fleet. */
  readonly isListed: (instance: string) => Promise<boolean>;
  /** Handles a request; no reply is sent if it returns undefined. */
  readonly handleRequest: (
    body: PeerMessage,
    from: Incarnation,
  ) => Promise<PeerMessage | undefined>;
  /** Called if a connecting daemon did not prove that it knows the key. */
  readonly onRefused?: () => void;
}

/** Owns one accepted socket. Requests are served only after the handshake. */
export class AcceptedLink {
  readonly #nonce = randomBytes(NONCE_BYTES).toString('hex');

  readonly #heartbeat: Heartbeat;

  #from: Incarnation | undefined;

  #unprovenBytes = 0;

  /** Counts what arrives before the proof, as a frame is passed on only when it is complete. */
  readonly #countUnproven = (part: Buffer): void => {
    this.#unprovenBytes += part.length;
    if (this.#unprovenBytes > MAX_UNPROVEN_BYTES) this.#refuse();
  };

  /**
   * Takes ownership of a socket and sends the challenge.
   * @param socket - accepted socket
   * @param connection - connection that carries it
   * @param cfg - identity, fleet key and request handler
   */
  constructor(
    private readonly socket: WebSocket,
    private readonly connection: Readable,
    private readonly cfg: ListenerConfig,
  ) {
    this.#heartbeat = new Heartbeat({
      onBeat: () => {
        if (this.#from) this.#send({ kind: 'heartbeat' });
      },
      onSilent: () => socket.terminate(),
    });
    socket.on('message', (data) => {
      void this.#receive(decodeFrame(data));
    });
    socket.on('error', () => socket.terminate());
    socket.on('close', () => this.#heartbeat.stop());
    connection.on('data', this.#countUnproven);
    this.#send({ kind: 'challenge', nonce: this.#nonce });
  }

  #send(frame: Frame): void {
    if (this.socket.readyState === this.socket.OPEN) this.socket.send(encodeFrame(frame));
  }

  async #receive(frame: Frame | undefined): Promise<void> {
    this.#heartbeat.noteReceived();
    if (!frame) this.cfg.recorder.record('messageRejected', { peer: this.#from ?? 'unknown' });
    if (frame?.kind === 'hello') {
      await this.#authenticate(frame.from, frame.nonce, frame.proof);
      return;
    }
    if (!this.#from) {
      this.#refuse();
      return;
    }
    if (frame?.kind !== 'request') return;
    this.cfg.clock.observe(frame.stamp);
    const body = await this.cfg.handleRequest(frame.body, this.#from);
    if (body) this.#send({ kind: 'reply', id: frame.id, stamp: this.cfg.clock.next(), body });
  }

  /** Closes the link of a peer that sends something else than its proof. */
  #refuse(): void {
    this.connection.off('data', this.#countUnproven);
    const detail = `sent no proof within its first ${MAX_UNPROVEN_BYTES} bytes`;
    this.cfg.recorder.record('linkRefused', { peer: 'unknown', detail });
    this.socket.terminate();
  }

  async #authenticate(from: Incarnation, nonce: string, proof: string): Promise<void> {
    const isProofValid = equalProofs(proof, computeProof(this.cfg.fleetKey, this.#nonce, from));
    if (!isProofValid || !(await this.cfg.isListed(instanceOf(from)))) {
      this.cfg.recorder.record('linkRefused', { peer: from });
      this.socket.terminate();
      if (!isProofValid) this.cfg.onRefused?.();
      return;
    }
    this.#from = from;
    this.connection.off('data', this.#countUnproven);
    const ownProof = computeProof(this.cfg.fleetKey, nonce, this.cfg.self);
    this.#send({ kind: 'welcome', from: this.cfg.self, proof: ownProof });
  }
}
