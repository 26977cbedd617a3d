/** Room in memory for the body of one request. */
import { bodySize, SMALL_BODY_BYTES } from './bodylimit.js';
import { SEGMENT_BYTES } from './segmentpool.js';

import type { BodyGate } from './bodygate.js';
import type { BodySize } from './bodylimit.js';
import type { CallerConnection } from './callerconnection.js';

/** Room of one body. */
export class BodyRoom {
  #bytes = 0;

  #receivedBytes = 0;

  /** Part of what was received that is kept outside segments, in bytes. */
  #looseBytes = 0;

  #segments: Buffer[] = [];

  #ticks = 0;

  /** Whether the room was given up, after which none is taken. */
  #isReleased = false;

  #endWait: () => void = () => undefined;

  /** Called when the room is given to another request, as the body arrives too slowly. */
  onRevoke: () => void = () => undefined;

  /**
   * Creates an empty room.
   * @param gate - account of all bodies
   * @param connection - connection of the request
   * @param limitBytes - largest body that is read, in bytes
   */
  constructor(
    private readonly gate: BodyGate,
    readonly connection: CallerConnection,
    private readonly limitBytes: number,
  ) {}

  /** Size of the room, in bytes. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Size of a buffer for a body that is larger than one, in bytes. */
  readonly segmentBytes = SEGMENT_BYTES;

  /**
   * Takes a buffer for a part of the body. It is given back with the room.
   * @returns buffer of segmentBytes with any content
   */
  readonly takeSegment = (): Buffer => {
    if (this.#isReleased) return Buffer.allocUnsafeSlow(SEGMENT_BYTES);
    const segment = this.gate.segments.take();
    this.#segments.push(segment);
    // What was kept elsewhere before is copied into segments.
    this.gate.loosened(-this.#looseBytes);
    this.#looseBytes = 0;
    return segment;
  };

  /** Size class of the room. */
  get size(): BodySize {
    return bodySize(this.#bytes);
  }

  /**
   * Takes room for a body of known length.
   * @param bytes - its length, in bytes
   * @returns whether there is room
   */
  take(bytes: number): boolean | Promise<boolean> {
    if (this.#isReleased) return false;
    return bytes <= this.#bytes || this.gate.request(this, bytes);
  }

  /**
   * Takes room for a body whose length is not known yet: for a small one first, then for twice as much each time.
   * @param bytes - length so far, in bytes
   * @returns whether there is room
   */
  grow(bytes: number): boolean | Promise<boolean> {
    if (bytes <= this.#bytes) return true;
    const doubled = Math.max(SMALL_BODY_BYTES, 2 ** Math.ceil(Math.log2(bytes)));
    return this.take(Math.min(this.limitBytes, doubled));
  }

  /**
   * Records a wait for more room; for use by BodyGate.
   * @param end - ends it
   */
  waits(end: () => void): void {
    this.#endWait = end;
  }

  /**
   * Makes the room larger; for use by BodyGate.
   * @param bytes - its new size, in bytes
   */
  granted(bytes: number): void {
    this.#bytes = bytes;
  }

  /**
   * Counts bytes that have arrived and are kept.
   * @param bytes - number of bytes
   */
  received(bytes: number): void {
    this.#receivedBytes += bytes;
    this.gate.received(bytes);
    if (this.#segments.length > 0) return;
    this.#looseBytes += bytes;
    this.gate.loosened(bytes);
  }

  /**
   * Counts bytes that were read.
   * @param bytes - number of bytes
   */
  passed(bytes: number): void {
    this.gate.passed(bytes);
  }

  /** Records that the body was read completely, after which its room is not revoked. */
  wasRead(): void {
    this.gate.wasRead(this);
  }

  /**
   * Counts a tick while the body is read.
   * @returns number of ticks so far
   */
  tick(): number {
    this.#ticks += 1;
    return this.#ticks;
  }

  /** Gives the room to another request. */
  revoke(): void {
    this.onRevoke();
    this.release();
  }

  /** Gives up the room, once nothing reads or writes the buffers of the body any more. */
  release(): void {
    this.#isReleased = true;
    this.#endWait();
    this.gate.wasRead(this);
    const bytes = this.#bytes;
    const receivedBytes = this.#receivedBytes;
    const looseBytes = this.#looseBytes;
    this.#bytes = 0;
    this.#receivedBytes = 0;
    this.#looseBytes = 0;
    this.gate.segments.giveBack(this.#segments.splice(0));
    if (bytes > 0 || receivedBytes > 0) this.gate.release(bytes, receivedBytes, looseBytes);
  }
}
