/** Room in memory for the body of one request. */
import { bodySize, SMALL_BODY_BYTES } from './bodylimit.js';

import type { BodyGate } from './bodygate.js';
import type { BodySize } from './bodylimit.js';
import type { CallerConnection } from './callerconnection.js';

/** Room of one body. */
export class BodyRoom {
  #bytes = 0;

  #receivedBytes = 0;

  #ticks = 0;

  /** Whether the room was given up, after which none is taken. */
  #isReleased = false;

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
    private readonly connection: CallerConnection,
    private readonly limitBytes: number,
  ) {}

  /** Size class of the room. */
  get size(): BodySize {
    return bodySize(this.#bytes);
  }

  /**
   * Takes room for a body of known length.
   * @param bytes - its length, in bytes
   * @returns whether there is room
   */
  async take(bytes: number): Promise<boolean> {
    if (this.#isReleased) return false;
    if (bytes <= this.#bytes) return true;
    const { gate } = this;
    if (!(await gate.request(bytes, this.connection))) return false;
    if (this.#isReleased) {
      gate.release(bytes, 0);
      return false;
    }
    gate.release(this.#bytes, 0);
    this.#bytes = bytes;
    gate.reading(this);
    return true;
  }

  /**
   * Takes room for a body whose length is not known yet: for a small one first, then for the largest.
   * @param bytes - length so far, in bytes
   * @returns whether there is room
   */
  grow(bytes: number): Promise<boolean> {
    return this.take(
      Math.min(this.limitBytes, bytes <= SMALL_BODY_BYTES ? SMALL_BODY_BYTES : this.limitBytes),
    );
  }

  /**
   * Counts bytes that have arrived and are kept.
   * @param bytes - number of bytes
   */
  received(bytes: number): void {
    this.#receivedBytes += bytes;
    this.gate.received(bytes);
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

  /** Gives up the room, once the body is not needed any more. */
  release(): void {
    this.#isReleased = true;
    this.gate.wasRead(this);
    const bytes = this.#bytes;
    const receivedBytes = this.#receivedBytes;
    this.#bytes = 0;
    this.#receivedBytes = 0;
    if (bytes > 0) this.gate.release(bytes, receivedBytes);
  }
}
