/**
 * Tells a caller that has closed its connection from one that has closed only its sending side and waits for its
 * answer. Both look the same until something is sent: a closed peer replies with a reset, a half-closed one does not.
 */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { Occurrence } from './occurrence.js';

/** Longest wait for a reset after bytes were sent to the caller, in milliseconds: above the round trip to callers. */
const RESET_WAIT_MS = 70;

/**
 * Number of probes. A relay that has passed on the end of the caller's side takes the first one; it learns by that one, or
 * by the second, that the caller has closed, and replies to the next with a reset.
 */
const MAX_PROBES = 3;

/**
 * Longest wait for bytes of an answer if no others can be sent, in milliseconds: below the half second within which work
 * for a caller that has left must end.
 */
const SILENCE_LIMIT_MS = 200;

/** Interval at which the connection is checked for a reset, in milliseconds. */
const CHECK_INTERVAL_MS = 10;

/** The same for a caller that is known to wait for its answers, in milliseconds. */
const HALF_CLOSED_CHECK_INTERVAL_MS = 100;

/** What is known of a connection after the end of the caller's side. */
export interface EndedSide {
  /** Time since the end, in milliseconds. */
  readonly elapsedMs: number;
  /**
   * Time since the last probe, or without probes since bytes of an answer were first sent after the end, in milliseconds;
   * undefined if nothing was sent.
   */
  readonly sentMs: number | undefined;
  /** Number of probes that were sent. */
  readonly probes: number;
  /** Whether bytes may be sent now that change no answer. */
  readonly allowsProbe: boolean;
  /** Whether a request has no complete answer. */
  readonly hasOpenRequest: boolean;
}

/** What to do after the end of the caller's side. */
export type LeavingStep = 'probe' | 'wait' | 'left' | 'half-closed';

/**
 * Decides what to do after the end of the caller's side, unless the connection was reset.
 * @param side - what is known of the connection
 * @returns send bytes that change no answer, check again later, or the conclusion
 */
export function leavingStep(side: EndedSide): LeavingStep {
  const {
    elapsedMs,
    sentMs = Number.POSITIVE_INFINITY,
    probes,
    allowsProbe,
    hasOpenRequest,
  } = side;
  if (!hasOpenRequest) return 'left';
  if (sentMs < RESET_WAIT_MS) return 'wait';
  if (allowsProbe && probes < MAX_PROBES) return 'probe';
  if (side.sentMs !== undefined) return 'half-closed';
  return elapsedMs < SILENCE_LIMIT_MS ? 'wait' : 'left';
}

/**
 * Whether the caller's side of a connection is open, and if not, whether the caller has left: "silent" if it counts as
 * having left because nothing could be sent that a reset would have answered.
 */
export type CallerSideState = 'open' | 'unclear' | 'half-closed' | 'silent' | 'left';

/** Watches the caller's side of one connection. */
export class CallerSide {
  readonly #left = new Occurrence();

  readonly #halfClosed = new Occurrence();

  /** Answers that are not complete, in the order of their requests. */
  readonly #answers = new Set<ServerResponse>();

  #state: CallerSideState = 'open';

  /** State of the side. */
  get state(): CallerSideState {
    return this.#state;
  }

  /**
   * Adds an answer that the caller waits for. Without such answers the end of the side counts as the caller's leaving.
   * @param res - response of the server
   */
  expects(res: ServerResponse): void {
    this.#answers.add(res);
    // This follows "finish" as well.
    res.once('close', () => this.#answers.delete(res));
  }

  /** Records that the caller's side has ended; the connection is then probed. */
  ended(): void {
    if (this.#state !== 'open') return;
    const first = this.#first;
    if (!first) {
      this.left();
      return;
    }
    this.#state = 'unclear';
    this.#check(first.req.socket, performance.now());
  }

  /** Records that the caller has left or the connection is closed. */
  left(): void {
    if (this.#state !== 'silent') this.#state = 'left';
    this.#left.happen();
  }

  /**
   * Adds a listener for the caller's leaving; it is called at once if the caller has left.
   * @param listener - called at most once
   * @returns function that removes the listener
   */
  onLeft(listener: () => void): () => void {
    return this.#left.listen(listener);
  }

  /**
   * Adds a listener for the conclusion that the caller waits for its answers; it is called at once if that is known.
   * @param listener - called at most once
   * @returns function that removes the listener
   */
  onHalfClosed(listener: () => void): () => void {
    return this.#halfClosed.listen(listener);
  }

  #check(socket: Socket, endedAt: number): void {
    // Bytes that still wait here are sent after the end.
    const sentBefore = socket.bytesWritten - socket.writableLength;
    let sentAt: number | undefined;
    let probes = 0;
    const check = (): void => {
      if (this.#state !== 'unclear') return;
      const now = performance.now();
      if (socket.bytesWritten > sentBefore) sentAt ??= now;
      const step = leavingStep({
        elapsedMs: now - endedAt,
        sentMs: sentAt === undefined ? undefined : now - sentAt,
        probes,
        allowsProbe: this.#allowsProbe,
        hasOpenRequest: this.#answers.size > 0,
      });
      if (step === 'half-closed') {
        this.#state = step;
        this.#halfClosed.happen();
        this.#watchForReset(socket);
        return;
      }
      if (step === 'left') {
        if (this.#answers.size > 0) this.#state = 'silent';
        this.#close(socket);
        this.#left.happen();
        return;
      }
      if (step === 'probe') {
        this.#probe();
        sentAt = now;
        probes += 1;
      }
      CallerSide.#unlessReset(socket, CHECK_INTERVAL_MS, check);
    };
    check();
  }

  /** Lets a reset of a half-closed connection show soon after the bytes that caused it. */
  #watchForReset(socket: Socket): void {
    if (this.#answers.size === 0) return;
    CallerSide.#unlessReset(socket, HALF_CLOSED_CHECK_INTERVAL_MS, () =>
      this.#watchForReset(socket),
    );
  }

  /**
   * Checks a connection for a reset after a time. Nothing is read after the end of the caller's side, so that a reset shows
   * only at a write; an empty one sends nothing.
   * @param socket - the connection
   * @param waitMs - time, in milliseconds
   * @param then - called if the connection was not reset; if it was, the socket closes
   */
  static #unlessReset(socket: Socket, waitMs: number, then: () => void): void {
    setTimeout(() => {
      // After the last answer the server closes the connection itself.
      if (socket.writable) socket.write('', (err) => !err && then());
    }, waitMs);
  }

  /** Closes a connection whose caller has left; a reset shows a caller that still reads that an answer is not complete. */
  #close(socket: Socket): void {
    if (this.#first?.headersSent) socket.resetAndDestroy();
    else socket.end();
  }

  get #first(): ServerResponse | undefined {
    const [first] = this.#answers;
    return first;
  }

  /**
   * Whether the first answer has not begun and its caller's version of HTTP has interim answers, or the answer is sent in
   * chunks.
   */
  get #allowsProbe(): boolean {
    const first = this.#first;
    if (!first?.socket || first.writableEnded) return false;
    return first.headersSent ? first.chunkedEncoding : first.req.httpVersion === '1.1';
  }

  /** Sends an interim answer, or a zero before the size of the next chunk. */
  #probe(): void {
    const first = this.#first;
    if (!first?.headersSent) {
      first?.writeContinue();
      return;
    }
    first.flushHeaders();
    first.socket?.write('0');
  }
}
