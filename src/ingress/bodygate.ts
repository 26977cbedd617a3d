/** Keeps account of the bodies of callers' requests, and holds back those for which there is no room. */
import { KIB_BYTES, PolledTimer } from '../kernel/index.js';
import { dueCollection, isGrowthCollected } from './bodygarbage.js';
import { bodySize, bodyStep, freeBytes, unreadBytes } from './bodylimit.js';
import { BodyRoom } from './bodyroom.js';
import { SegmentPool } from './segmentpool.js';

import type { Clock, GarbageKind } from '../kernel/index.js';
import type { BodySize, BodyState, BodyStep, MemoryState } from './bodylimit.js';
import type { CallerConnection } from './callerconnection.js';

/** Interval at which requests that wait for room are decided on again, in milliseconds. */
const TICK_MS = 50;

/**
 * Number of ticks after which a body that is still being read gives up its room to a request that waits. Ticks are
 * counted rather than time, as nothing is read while the process is suspended.
 */
const SLOW_TICKS = 20;

/** Size from which a body outside segments counts as garbage that only a major collection frees, in bytes. */
const COLLECTED_BYTES = 16 * KIB_BYTES;

interface WaitingRoom {
  readonly room: BodyRoom;
  readonly bytes: number;
  readonly since: number;
  readonly end: (isTaken: boolean) => void;
}

/** Account of all bodies of one daemon. */
export class BodyGate {
  /** Buffers of large bodies; for use by BodyRoom. */
  readonly segments = new SegmentPool();

  readonly #held = { small: 0, large: 0 };

  readonly #waiting: Readonly<Record<BodySize, Set<WaitingRoom>>> = {
    small: new Set(),
    large: new Set(),
  };

  /** Rooms whose bodies are still being read, in the order in which they were granted. */
  readonly #reading = new Set<BodyRoom>();

  #unreadBytes = 0;

  #receivedBytes = 0;

  #looseBytes = 0;

  #garbage = { passedBytes: 0, releasedBytes: 0 };

  #otherBytes = 0;

  /** Least resident size since garbage was last collected as the process grew, in bytes. */
  #collectedAtBytes = Number.POSITIVE_INFINITY;

  #fileBytes = 0;

  #timer: PolledTimer | undefined;

  /**
   * Creates an empty account.
   * @param limitBytes - memory that the process may use, in bytes
   * @param clock - steady clock
   * @param collect - collects garbage; default nothing is collected
   */
  constructor(
    private readonly limitBytes: number,
    private readonly clock: Clock,
    private readonly collect: (kind: GarbageKind) => void = () => undefined,
  ) {}

  /** What is held, for the log. */
  get facts(): Readonly<Record<string, number>> {
    const { small, large } = this.#waiting;
    return {
      heldBytes: this.#held.small + this.#held.large,
      receivedBytes: this.#receivedBytes,
      segmentBytes: this.segments.residentBytes,
      waiting: small.size + large.size,
    };
  }

  /** Memory that is left for bodies and what they entail, in bytes. */
  get freeBytes(): number {
    return freeBytes(this.#memory);
  }

  /**
   * Takes a sample of the resident size of the process, and collects garbage if it grows while memory is scarce.
   * @param residentBytes - size in bytes
   * @param fileBytes - part of it that is in files, in bytes
   */
  sample(residentBytes: number, fileBytes: number): void {
    const bodyBytes = this.#looseBytes + this.segments.residentBytes;
    this.#otherBytes = Math.max(0, residentBytes - bodyBytes);
    this.#fileBytes = fileBytes;
    this.#collectedAtBytes = Math.min(this.#collectedAtBytes, residentBytes);
    const { limitBytes, freeBytes: free } = this;
    const grownBytes = residentBytes - this.#collectedAtBytes;
    if (!isGrowthCollected(grownBytes, { limitBytes, freeBytes: free })) return;
    this.#collectedAtBytes = residentBytes;
    this.collect('major');
  }

  /**
   * Opens the account of one body.
   * @param connection - connection of its request
   * @param limitBytes - largest body that is read, in bytes
   * @returns its room, which is empty
   */
  open(connection: CallerConnection, limitBytes: number): BodyRoom {
    return new BodyRoom(this, connection, limitBytes);
  }

  /** Ends the wait of all requests. */
  stop(): void {
    Object.values(this.#waiting).forEach((all) => [...all].forEach(({ end }) => end(false)));
  }

  /**
   * Asks for room; for use by BodyRoom. A room that grows takes that of younger ones that are being read, so that one of
   * many that grow together is read to its end.
   * @param room - the room
   * @param bytes - size that it needs, in bytes
   * @returns whether there is room; false also if the caller leaves while the request waits
   */
  request(room: BodyRoom, bytes: number): boolean | Promise<boolean> {
    const size = bodySize(bytes);
    const since = this.clock.now();
    const isGrowing = room.bytes > 0;
    const isFirst = isGrowing || this.#waiting[size].size === 0;
    const decide = (): BodyStep => this.#step(room, bytes, since, isFirst);
    let step = decide();
    const younger = isGrowing && step !== 'read' ? this.#youngerThan(room, size) : [];
    while (step !== 'read' && younger.length > 0) {
      younger.pop()?.revoke();
      step = decide();
    }
    if (step === 'read') {
      this.#grant(room, bytes);
      return true;
    }
    if (step === 'refuse') return false;
    return new Promise((resolve) => {
      const unsubscribe: (() => void)[] = [];
      const waiting: WaitingRoom = {
        room,
        bytes,
        since,
        end: (isTaken) => {
          if (!this.#waiting[size].delete(waiting)) return;
          this.#unreadBytes -= unreadBytes(bytes);
          if (isTaken) this.#grant(room, bytes);
          unsubscribe.forEach((remove) => remove());
          resolve(isTaken);
        },
      };
      this.#waiting[size].add(waiting);
      this.#unreadBytes += unreadBytes(bytes);
      room.waits(() => waiting.end(false));
      unsubscribe.push(room.connection.onEnd(() => waiting.end(false)));
      this.#schedule();
    });
  }

  /**
   * Counts bytes of bodies that have arrived; for use by BodyRoom.
   * @param bytes - number of bytes
   */
  received(bytes: number): void {
    this.#receivedBytes += bytes;
  }

  /**
   * Counts bytes of bodies that are kept outside segments; for use by BodyRoom.
   * @param bytes - number of bytes, negative if they were moved into segments
   */
  loosened(bytes: number): void {
    this.#looseBytes += bytes;
  }

  /**
   * Counts bytes that were read, whether they are kept or discarded.
   * @param bytes - number of bytes
   */
  passed(bytes: number): void {
    this.#garbage.passedBytes += bytes;
    this.#collectIfDue();
  }

  /**
   * Records that a body was read completely; for use by BodyRoom.
   * @param room - its room
   */
  wasRead(room: BodyRoom): void {
    this.#reading.delete(room);
  }

  /**
   * Takes room back; for use by BodyRoom.
   * @param bytes - size in bytes
   * @param receivedBytes - part of it that had arrived
   * @param looseBytes - part of that outside segments
   */
  release(bytes: number, receivedBytes: number, looseBytes: number): void {
    this.#held[bodySize(bytes)] -= bytes;
    this.#receivedBytes -= receivedBytes;
    this.#looseBytes -= looseBytes;
    // What is outside segments is part of the process until it is collected.
    this.#otherBytes += looseBytes;
    if (looseBytes > COLLECTED_BYTES) this.#garbage.releasedBytes += looseBytes;
    this.#decide();
  }

  /** Makes a room larger. */
  #grant(room: BodyRoom, bytes: number): void {
    if (room.bytes > 0) this.#held[room.size] -= room.bytes;
    this.#held[bodySize(bytes)] += bytes;
    room.granted(bytes);
    this.#reading.add(room);
  }

  /** Rooms of a size whose bodies are being read, granted later than another one; the youngest last. */
  #youngerThan(room: BodyRoom, size: BodySize): BodyRoom[] {
    const all = [...this.#reading];
    return all.slice(all.indexOf(room) + 1).filter((other) => other.size === size);
  }

  #collectIfDue(): void {
    const { limitBytes } = this;
    const kind = dueCollection(this.#garbage, { limitBytes, freeBytes: this.freeBytes });
    if (kind === undefined) return;
    this.collect(kind);
    this.#garbage.passedBytes = 0;
    if (kind === 'major') this.#garbage.releasedBytes = 0;
  }

  #step(room: BodyRoom, bytes: number, since: number, isFirst: boolean): BodyStep {
    const held = { ...this.#held };
    if (room.bytes > 0) held[room.size] -= room.bytes;
    const bodies: BodyState = { held, unreadBytes: this.#unreadBytes };
    return bodyStep({ bytes, waitedMs: this.clock.now() - since, isFirst }, bodies, this.#memory);
  }

  get #memory(): MemoryState {
    const { limitBytes } = this;
    return { limitBytes, otherBytes: this.#otherBytes, fileBytes: this.#fileBytes };
  }

  /** Decides on all requests that wait, in the order of their arrival. */
  #decide(): void {
    Object.values(this.#waiting).forEach((all) => {
      let isFirst = true;
      [...all].forEach((waiting) => {
        this.#unreadBytes -= unreadBytes(waiting.bytes);
        const { room, bytes, since } = waiting;
        const step = this.#step(room, bytes, since, isFirst);
        this.#unreadBytes += unreadBytes(waiting.bytes);
        if (step === 'wait') isFirst = false;
        else waiting.end(step === 'read');
      });
    });
  }

  #schedule(): void {
    this.#timer ??= new PolledTimer(TICK_MS, () => this.#tick());
  }

  #tick(): void {
    this.#timer = undefined;
    this.#reading.forEach((room) => {
      const isSlow = room.tick() > SLOW_TICKS;
      if (isSlow && this.#waiting[room.size].size > 0) room.revoke();
    });
    this.#decide();
    if (this.#waiting.small.size + this.#waiting.large.size + this.#reading.size > 0)
      this.#schedule();
  }
}
