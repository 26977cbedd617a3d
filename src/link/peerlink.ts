/** One outgoing link to a peer: handshake, heartbeats, requests in flight. */
import { randomBytes } from 'node:crypto';

import { Packr } from 'msgpackr';
import { WebSocket } from 'ws';

import type { RawData } from 'ws';
import { Err, failure, Ok } from '../kernel/index.js';
import { frameSchema, prove, sameProof } from './frames.js';

import type { Failure, HybridClock, Incarnation, Result } from '../kernel/index.js';
import type { Recorder } from '../telemetry/index.js';
import type { Frame } from './frames.js';
import type { PeerMessage } from './messages.js';

/** Interval between heartbeats, in milliseconds. */
export const HEARTBEAT_MS = 1_000;

/** Silence after which a link is replaced, in milliseconds. */
export const SILENCE_MS = 3_000;

/** Longest handshake, in milliseconds. */
const HANDSHAKE_MS = 2_000;

/** Requests that may wait for a reply on one link. */
const MAX_IN_FLIGHT = 4_096;

const NONCE_BYTES = 16;

const packr = new Packr({ useRecords: false });

/**
 * Encodes a frame.
 * @param frame - the frame
 * @returns its bytes
 */
export function encodeFrame(frame: Frame): Buffer {
  return packr.pack(frame);
}

/**
 * Decodes and checks a frame.
 * @param data - bytes from the socket
 * @returns the frame; undefined if it does not fit the schema
 */
export function decodeFrame(data: RawData): Frame | undefined {
  try {
    const parsed = frameSchema.safeParse(packr.unpack(data as Buffer));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}

/** Who a link connects, and with what. */
export interface LinkConfig {
  readonly self: Incarnation;
  readonly fleetKey: string;
  readonly peer: string;
  readonly address: string;
  readonly clock: HybridClock;
  readonly recorder: Recorder;
  /** Called with the peer's incarnation once the handshake is done. */
  readonly onOpen: (incarnation: Incarnation) => void;
  /** Called once when the link is gone. */
  readonly onClose: () => void;
}

type Settle = (result: Result<PeerMessage, Failure>) => void;

/** Owns one socket; replaced by its owner when it closes. */
export class PeerLink {
  readonly #socket: WebSocket;

  readonly #nonce = randomBytes(NONCE_BYTES).toString('hex');

  readonly #waiting = new Map<number, Settle>();

  readonly #ready: Promise<boolean>;

  readonly #beat: NodeJS.Timeout;

  #nextId = 1;

  #heardAt = performance.now();

  #open = false;

  #settleReady: (open: boolean) => void = () => undefined;

  /**
   * Dials a peer.
   * @param cfg - who to connect, and with what
   */
  constructor(private readonly cfg: LinkConfig) {
    this.#ready = new Promise((resolve) => {
      this.#settleReady = resolve;
    });
    this.#socket = new WebSocket(`ws://${cfg.address}`, { handshakeTimeout: HANDSHAKE_MS });
    this.#socket.on('message', (data) => this.#receive(data));
    this.#socket.on('close', () => this.#closed());
    this.#socket.on('error', () => this.#socket.terminate());
    this.#beat = setInterval(() => this.#heartbeat(), HEARTBEAT_MS);
  }

  /**
   * Sends a request and waits for its reply.
   * @param body - the request
   * @param timeoutMs - longest wait in milliseconds, the handshake included
   * @returns the reply or a failure
   */
  request(body: PeerMessage, timeoutMs: number): Promise<Result<PeerMessage, Failure>> {
    if (this.#waiting.size >= MAX_IN_FLIGHT) return Promise.resolve(this.#unreachable());
    const id = this.#nextId;
    this.#nextId += 1;
    return new Promise((resolve) => {
      const timer = setTimeout(() => this.#settle(id, this.#unreachable()), timeoutMs);
      this.#waiting.set(id, (result) => {
        clearTimeout(timer);
        resolve(result);
      });
      void this.#sendWhenReady(id, body);
    });
  }

  /** Ends the link. */
  close(): void {
    this.#socket.terminate();
  }

  async #sendWhenReady(id: number, body: PeerMessage): Promise<void> {
    if (!this.#open && !(await this.#ready)) {
      this.#settle(id, this.#unreachable());
      return;
    }
    if (!this.#waiting.has(id)) return;
    this.#send({ kind: 'request', id, stamp: this.cfg.clock.next(), body });
  }

  #send(frame: Frame): void {
    if (this.#socket.readyState === WebSocket.OPEN) this.#socket.send(encodeFrame(frame));
  }

  #settle(id: number, result: Result<PeerMessage, Failure>): void {
    const settle = this.#waiting.get(id);
    this.#waiting.delete(id);
    settle?.(result);
  }

  #unreachable(): Result<PeerMessage, Failure> {
    return Err(failure('peer-unreachable', this.cfg.peer));
  }

  #receive(data: RawData): void {
    this.#heardAt = performance.now();
    const frame = decodeFrame(data);
    if (!frame) {
      this.cfg.recorder.record('messageRejected', { peer: this.cfg.peer });
      return;
    }
    if (frame.kind === 'challenge') this.#answerChallenge(frame.nonce);
    if (frame.kind === 'welcome') this.#welcomed(frame.from, frame.proof);
    if (frame.kind === 'reply' && this.#open) {
      this.cfg.clock.observe(frame.stamp);
      this.#settle(frame.id, Ok(frame.body));
    }
  }

  #answerChallenge(nonce: string): void {
    const { self, fleetKey } = this.cfg;
    const proof = prove(fleetKey, nonce, self);
    this.#send({ kind: 'hello', from: self, nonce: this.#nonce, proof });
  }

  #welcomed(from: Incarnation, proof: string): void {
    if (!sameProof(proof, prove(this.cfg.fleetKey, this.#nonce, from))) {
      this.cfg.recorder.record('linkRefused', { peer: from });
      this.#socket.terminate();
      return;
    }
    this.#open = true;
    this.#settleReady(true);
    this.cfg.onOpen(from);
  }

  #heartbeat(): void {
    const silentMs = performance.now() - this.#heardAt;
    if (silentMs > SILENCE_MS) {
      this.cfg.recorder.record('linkSilent', { peer: this.cfg.peer });
      this.#socket.terminate();
      return;
    }
    if (this.#open) this.#send({ kind: 'heartbeat' });
  }

  #closed(): void {
    clearInterval(this.#beat);
    this.#open = false;
    this.#settleReady(false);
    [...this.#waiting.keys()].forEach((id) => this.#settle(id, this.#unreachable()));
    this.cfg.onClose();
  }
}
