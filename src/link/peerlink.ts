/** Connecting side of a peer link: handshake, heartbeats and pending requests. */
import { randomBytes } from 'node:crypto';

import { Packr } from 'msgpackr';
import { WebSocket } from 'ws';

import type { RawData } from 'ws';
import { Err, failure, Ok, PolledTimer } from '../kernel/index.js';
import { frameSchema, computeProof, equalProofs } from './frames.js';
import { Heartbeat } from './heartbeat.js';

import type { Failure, HybridClock, Incarnation, Result } from '../kernel/index.js';
import type { Recorder } from '../telemetry/index.js';
import type { Frame } from './frames.js';
import type { PeerMessage } from './messages.js';

/** Timeout of the WebSocket handshake, in milliseconds. */
const HANDSHAKE_TIMEOUT_MS = 2_000;

/** Pending requests on one link; further requests fail immediately. */
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
 * Decodes a frame and validates it against the schema.
 * @param data - bytes from the socket
 * @returns the frame; undefined if it cannot be decoded or is not valid
 */
export function decodeFrame(data: RawData): Frame | undefined {
  try {
    const parsed = frameSchema.safeParse(packr.unpack(data as Buffer));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}

/** Configuration of a link. */
export interface LinkConfig {
  readonly self: Incarnation;
  readonly fleetKey: string;
  readonly peer: string;
  readonly address: string;
  readonly clock: HybridClock;
  readonly recorder: Recorder;
  /** Called with the peer's incarnation when the handshake is complete. */
  readonly onOpen: (incarnation: Incarnation) => void;
  /** Called once, when the socket has closed. */
  readonly onClose: () => void;
  /** Called if the peer did not prove that it knows the key, or closed the socket instead of accepting the proof. */
  readonly onRefused?: () => void;
}

type SettleRequest = (result: Result<PeerMessage, Failure>) => void;

/** Owns one socket. A closed link is not reopened; its owner creates a new one. */
export class PeerLink {
  readonly #socket: WebSocket;

  readonly #nonce = randomBytes(NONCE_BYTES).toString('hex');

  readonly #pending = new Map<number, SettleRequest>();

  readonly #handshake: Promise<boolean>;

  readonly #handshakeTimer: PolledTimer;

  readonly #heartbeat: Heartbeat;

  #nextId = 1;

  #open = false;

  /** Whether the own proof was sent, and the peer has not accepted it yet. */
  #isProving = false;

  #settleHandshake: (open: boolean) => void = () => undefined;

  /**
   * Opens the connection to a peer.
   * @param cfg - address, identities, key and callbacks
   */
  constructor(private readonly cfg: LinkConfig) {
    this.#handshake = new Promise((resolve) => {
      this.#settleHandshake = resolve;
    });
    this.#socket = new WebSocket(`ws://${cfg.address}`);
    this.#handshakeTimer = new PolledTimer(HANDSHAKE_TIMEOUT_MS, () => this.#socket.terminate());
    this.#socket.on('open', () => this.#handshakeTimer.clear());
    this.#socket.on('message', (data) => this.#receive(data));
    this.#socket.on('close', () => this.#handleClose());
    this.#socket.on('error', () => this.#socket.terminate());
    this.#heartbeat = new Heartbeat({
      onBeat: () => {
        if (this.#open) this.#send({ kind: 'heartbeat' });
      },
      onSilent: () => this.#closeSilent(),
    });
  }

  /**
   * Sends a request, after the handshake if that is still in progress, and waits for its reply.
   * @param body - the request
   * @param timeoutMs - longest wait for the reply in milliseconds, including the handshake
   * @returns the reply, or the failure "peer-unreachable"
   */
  request(body: PeerMessage, timeoutMs: number): Promise<Result<PeerMessage, Failure>> {
    if (this.#pending.size >= MAX_IN_FLIGHT) return Promise.resolve(this.#unreachable());
    const id = this.#nextId;
    this.#nextId += 1;
    return new Promise((resolve) => {
      const timer = new PolledTimer(timeoutMs, () => this.#settle(id, this.#unreachable()));
      this.#pending.set(id, (result) => {
        timer.clear();
        resolve(result);
      });
      void this.#sendAfterHandshake(id, body);
    });
  }

  /** Closes the socket; pending requests fail. */
  close(): void {
    this.#socket.terminate();
  }

  async #sendAfterHandshake(id: number, body: PeerMessage): Promise<void> {
    if (!this.#open && !(await this.#handshake)) {
      this.#settle(id, this.#unreachable());
      return;
    }
    if (!this.#pending.has(id)) return;
    this.#send({ kind: 'request', id, stamp: this.cfg.clock.next(), body });
  }

  #send(frame: Frame): void {
    if (this.#socket.readyState === WebSocket.OPEN) this.#socket.send(encodeFrame(frame));
  }

  #settle(id: number, result: Result<PeerMessage, Failure>): void {
    const settle = this.#pending.get(id);
    this.#pending.delete(id);
    settle?.(result);
  }

  #unreachable(): Result<PeerMessage, Failure> {
    return Err(failure('peer-unreachable', this.cfg.peer));
  }

  #receive(data: RawData): void {
    this.#heartbeat.noteReceived();
    const frame = decodeFrame(data);
    if (!frame) {
      this.cfg.recorder.record('messageRejected', { peer: this.cfg.peer });
      return;
    }
    if (frame.kind === 'challenge') this.#answerChallenge(frame.nonce);
    if (frame.kind === 'welcome') this.#handleWelcome(frame.from, frame.proof);
    if (frame.kind === 'reply' && this.#open) {
      this.cfg.clock.observe(frame.stamp);
      this.#settle(frame.id, Ok(frame.body));
    }
  }

  #answerChallenge(nonce: string): void {
    const { self, fleetKey } = this.cfg;
    const proof = computeProof(fleetKey, nonce, self);
    this.#send({ kind: 'hello', from: self, nonce: this.#nonce, proof });
    this.#isProving = true;
  }

  #handleWelcome(from: Incarnation, proof: string): void {
    if (!equalProofs(proof, computeProof(this.cfg.fleetKey, this.#nonce, from))) {
      this.cfg.recorder.record('linkRefused', { peer: from });
      this.#socket.terminate();
      return;
    }
    this.#isProving = false;
    this.#open = true;
    this.#settleHandshake(true);
    this.cfg.onOpen(from);
  }

  #closeSilent(): void {
    this.cfg.recorder.record('linkSilent', { peer: this.cfg.peer });
    this.#socket.terminate();
  }

  #handleClose(): void {
    this.#handshakeTimer.clear();
    this.#heartbeat.stop();
    this.#open = false;
    this.#settleHandshake(false);
    [...this.#pending.keys()].forEach((id) => this.#settle(id, this.#unreachable()));
    this.cfg.onClose();
    if (this.#isProving) this.cfg.onRefused?.();
  }
}
