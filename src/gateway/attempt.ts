/** One attempt at an upstream: sends the request and relays the answer. */
import type { Dispatcher } from 'undici';
import { PolledTimer } from '../kernel/index.js';
import { AnswerFlow } from './answerflow.js';
import { EventStream } from './eventstream.js';

import type { UpstreamConnections } from './connections.js';
import type { AnswerHead, CallHead, HeaderCodec } from './protocol.js';
import type { CallerReply } from './reply.js';
import type { ConnectionEnding, SendOutcome } from './serve.js';
import type { UpstreamConnection } from './upstreamconnection.js';

/** A request that was read completely. */
export interface Call {
  readonly head: CallHead;
  readonly method: string;
  /** Path and query as sent. */
  readonly target: string;
  /** The body in consecutive buffers, which are used again once the request has ended; none if it is empty. */
  readonly body: readonly Buffer[];
  readonly reply: CallerReply;
  /** Events of the answer, counted over all attempts. */
  readonly events: EventStream;
}

/** Options of one attempt. */
export interface AttemptConfig {
  readonly call: Call;
  readonly codec: HeaderCodec;
  readonly connections: UpstreamConnections;
  readonly headers: string[];
  /** Time after which the attempt is aborted, in milliseconds from now. */
  readonly timeoutMs: number;
  /**
   * Time after which the request is sent to another upstream if the answer has not begun, in milliseconds; undefined if
   * it is not.
   */
  readonly answerTimeoutMs: number | undefined;
  /**
   * Returns whether the request can be sent to another upstream now. Called after each answer timeout: until it can, the
   * attempt goes on, as a silent upstream may still answer.
   */
  readonly mayMove: () => boolean;
  /**
   * Whether an event stream can be resumed by another attempt. If so, only complete events are relayed to
   * the caller.
   */
  readonly resumable: boolean;
  /** Whether a failure answer is relayed to the caller rather than discarded. */
  readonly relaysFailure: boolean;
  /**
   * Returns whether the request may still be sent. Called once the connection is open, as the upstream may
   * have announced in the meantime that it leaves or asked for a pause.
   */
  readonly mayStart: () => boolean;
  /** Called when a kept connection had ended before the request was sent, so that another one is used. */
  readonly onConnectionEnded: () => void;
  /** Called when the request starts to be sent. */
  readonly onSent: () => void;
  /** Called for the head of an answer, and for each chunk without it. */
  readonly onProgress: (head: AnswerHead | undefined) => void;
}

type Stage = 'queued' | 'sent' | 'answering' | 'done';

/** Lowest status code of a final answer; lower codes are those of interim answers. */
const FIRST_FINAL_STATUS = 200;

/** Maximum number of interim answers before an answer: an upstream may tell for long that it is still at work. */
const MAX_INTERIM_ANSWERS = 1_000;

const OK_STATUS = 200;

/** Highest status code that has a meaning (RFC 9110, section 15). */
const LAST_STATUS = 599;

/** Lowest status code that counts as a failure of the upstream. */
const FIRST_FAILURE_STATUS = 500;

/**
 * Longest time for which a discarded answer is read, in milliseconds. Its connection can be reused only
 * if the answer has ended by then.
 */
const MAX_DISCARD_MS = 100;

/** Maximum number of bytes of a discarded answer that are read so that its connection can be reused. */
const MAX_DISCARD_BYTES = 65_536;

/**
 * Maximum number of polls after the time limit in which an answer is read on, one read of its socket each: a socket holds
 * several megabytes that arrived during a stall of the process.
 */
const MAX_LATE_POLLS = 128;

/** What the HTTP client sends as the body, and the header that it needs for that. */
function sentBody(buffers: readonly Buffer[]): {
  readonly body: Buffer | readonly Buffer[] | null;
  readonly length: readonly string[];
} {
  const [first = null] = buffers;
  if (buffers.length < 2) return { body: first, length: [] };
  // The client knows the length of a single buffer only.
  const bytes = buffers.reduce((sum, { length }) => sum + length, 0);
  return { body: buffers, length: ['content-length', String(bytes)] };
}

/** Flattens parsed headers into alternating names and values. */
function flatten(headers: Readonly<Record<string, string | string[] | undefined>>): string[] {
  return Object.entries(headers).flatMap(([name, value]) =>
    [value ?? []].flat().flatMap((one) => [name, one]),
  );
}

/** Whether an answer can continue a stream of which a part was relayed. */
function continuesStream({ status, isEventStream }: AnswerHead): boolean {
  return status === OK_STATUS && isEventStream;
}

/** Sends a request over one connection and relays or discards the answer as it arrives. */
class Attempt implements Dispatcher.DispatchHandler {
  #connection: UpstreamConnection;

  readonly #timeoutTimer: PolledTimer;

  #answerTimer: PolledTimer | undefined;

  #discardTimer: PolledTimer | undefined;

  /** Whether a part of the answer was read since the last poll after the time limit. */
  #isReadLate = false;

  #latePolls = 0;

  #discardedBytes = 0;

  #interimAnswers = 0;

  readonly #flow: AnswerFlow;

  #stage: Stage = 'queued';

  #head: AnswerHead | undefined;

  /** Whether the answer is discarded rather than relayed to the caller. */
  #isDiscarded = false;

  constructor(
    private readonly cfg: AttemptConfig,
    connection: UpstreamConnection,
    private readonly settle: (outcome: SendOutcome) => void,
  ) {
    const { reply } = cfg.call;
    this.#connection = connection;
    this.#flow = new AnswerFlow(cfg.connections.chunkShare);
    this.#timeoutTimer = new PolledTimer(cfg.timeoutMs, () => this.#onTimeout());
    this.#startAnswerTimer();
    reply.onDisconnect = () => this.#abandon({ kind: 'left' });
    reply.onStop = () => this.#onStop();
    reply.onDrain = () => this.#flow.drained();
  }

  start(): void {
    const { call, headers } = this.cfg;
    const { method, target } = call;
    const { body, length } = sentBody(call.body);
    const options = { method, path: target, headers: [...headers, ...length], body };
    try {
      // The types of the client leave out iterables, which it takes.
      this.#connection.client.dispatch(options as Dispatcher.DispatchOptions, this);
    } catch (err) {
      this.#failAttempt(String(err));
    }
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.#stage === 'done') {
      controller.abort(new Error('abandoned'));
      return;
    }
    if (this.#timeoutTimer.isDue || !this.cfg.mayStart()) {
      // The client reports the abort as a failure, which must come after the outcome.
      this.#abandon({ kind: 'withheld' });
      controller.abort(new Error('withheld'));
      return;
    }
    this.#stage = 'sent';
    this.#connection.noteRequest();
    this.cfg.onSent();
    // The connection was opened during a stall of the process; the upstream has not been silent.
    if (this.#answerTimer?.isDue) this.#startAnswerTimer();
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): void {
    if (this.#stage === 'done') return;
    if (status < FIRST_FINAL_STATUS) {
      this.#interimAnswers += 1;
      if (this.#interimAnswers > MAX_INTERIM_ANSWERS) this.#failAttempt('interim answers only');
      return;
    }
    if (status > LAST_STATUS) {
      this.#failAttempt(`answer with status ${status}`);
      return;
    }
    this.#answerTimer?.clear();
    this.#isReadLate = this.#timeoutTimer.isDue;
    const head = this.cfg.codec.decodeAnswer(status, flatten(headers));
    if (head.id !== this.cfg.call.head.id) {
      this.#abandon({ kind: 'lost', why: `answer to attempt ${head.id ?? 'without an id'}` });
      return;
    }
    this.cfg.onProgress(head);
    this.#stage = 'answering';
    this.#head = head;
    const isFailure = status >= FIRST_FAILURE_STATUS;
    const isResumption = this.cfg.call.reply.isBegun;
    this.#isDiscarded = isResumption
      ? head.isNotRun || !continuesStream(head)
      : head.isNotRun || (isFailure && !this.cfg.relaysFailure);
    if (this.#isDiscarded) {
      this.#discardTimer = new PolledTimer(MAX_DISCARD_MS, () =>
        this.#abandon(this.#discardedOutcome(head)),
      );
    }
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.#stage === 'done') return;
    this.#connection.noteBody(chunk.length);
    this.#flow.arrived(controller, chunk.length);
    this.#isReadLate = this.#timeoutTimer.isDue;
    if (this.#isDiscarded) {
      this.#discard(chunk.length);
      return;
    }
    this.cfg.onProgress(undefined);
    const bytes = this.#bytesToRelay(chunk);
    if (this.cfg.call.events.isOversized) {
      this.#failAttempt('an event without an end');
      return;
    }
    if (bytes.length === 0) return;
    this.#begin();
    if (!this.cfg.call.reply.write(bytes)) this.#flow.waitForCaller();
  }

  onResponseEnd(): void {
    const head = this.#head;
    if (this.#stage === 'done' || !head) return;
    if (!this.#isWhole(head)) {
      this.#failAttempt('incomplete answer');
      return;
    }
    if (this.#isDiscarded) this.#finish(this.#discardedOutcome(head));
    else {
      this.#begin();
      this.cfg.call.reply.end();
      const { ending = 'open' } = this.#connection;
      this.#finish({ kind: 'relayed', status: head.status, ending });
    }
    this.cfg.connections.release(this.#connection);
  }

  onResponseError(_controller: Dispatcher.DispatchController, err: Error): void {
    if (this.#stage === 'done') return;
    const isKept = this.#connection.requests > 0;
    if (this.#stage === 'queued' && isKept) this.#startAgain();
    else this.#failAttempt(err.message);
  }

  /** Takes another connection, as the kept one ended before the request was sent on it. */
  #startAgain(): void {
    this.#connection.destroy();
    this.#connection = this.cfg.connections.take();
    this.cfg.onConnectionEnded();
    this.start();
  }

  /**
   * Whether the answer is complete. The HTTP client reports the end of an answer also when the connection
   * ends. The end of the connection completes only an answer that is not delimited by a length or chunks,
   * and only if the connection was closed rather than reset.
   */
  #isWhole({ isFramed }: AnswerHead): boolean {
    if (this.cfg.call.events.isPartial) return false;
    const { ending } = this.#connection;
    return ending === undefined || (ending === 'closed' && !isFramed);
  }

  /**
   * Counts discarded bytes. The answer is read on so that the connection can be reused, but beyond the
   * limit the attempt ends and the connection is destroyed.
   */
  #discard(bytes: number): void {
    this.#discardedBytes += bytes;
    if (this.#discardedBytes > MAX_DISCARD_BYTES && this.#head)
      this.#abandon(this.#discardedOutcome(this.#head));
  }

  #discardedOutcome({ status, isNotRun }: AnswerHead): SendOutcome {
    return isNotRun ? { kind: 'not-run', status } : { kind: 'failed', status };
  }

  /** Returns the bytes that may be relayed to the caller now. */
  #bytesToRelay(chunk: Buffer): Buffer {
    const { call, resumable } = this.cfg;
    if (!this.#head?.isEventStream) return chunk;
    const whole = call.events.push(chunk);
    return resumable ? whole.bytes : chunk;
  }

  /**
   * Writes the head of the answer, unless it is written. This is done only with the first bytes of the
   * body: until then the request can still be sent to another upstream.
   */
  #begin(): void {
    const { reply } = this.cfg.call;
    if (this.#head && !reply.isBegun) reply.begin(this.#head);
  }

  #onTimeout(): void {
    const isRead = this.#isReadLate || this.#flow.waitsForShare;
    if (isRead && this.#latePolls < MAX_LATE_POLLS) {
      this.#isReadLate = false;
      this.#latePolls += 1;
      this.#timeoutTimer.pollAgain();
    } else if (this.#stage === 'queued') this.#abandon({ kind: 'unsent', why: 'no time left' });
    else if (this.cfg.call.reply.isBegun) this.#abandon(this.#cut('no time left'));
    else this.#abandon({ kind: 'timeout' });
  }

  #startAnswerTimer(): void {
    const { answerTimeoutMs } = this.cfg;
    this.#answerTimer?.clear();
    if (answerTimeoutMs === undefined) return;
    this.#answerTimer = new PolledTimer(answerTimeoutMs, () => this.#onAnswerTimeout());
  }

  #onAnswerTimeout(): void {
    if (this.#head !== undefined) return;
    const why = 'no answer in time';
    if (this.#stage === 'queued') this.#abandon({ kind: 'unsent', why });
    else if (this.cfg.mayMove()) this.#abandon({ kind: 'lost', why });
    else this.#startAnswerTimer();
  }

  #onStop(): void {
    const why = 'the daemon stops';
    if (this.#stage === 'queued') this.#abandon({ kind: 'unsent', why });
    else if (this.cfg.call.reply.isBegun) this.#abandon(this.#cut(why));
    else this.#abandon({ kind: 'stopped' });
  }

  #failAttempt(why: string): void {
    const { ending } = this.#connection;
    if (this.#stage === 'queued') this.#abandon({ kind: 'unsent', why });
    else if (this.cfg.call.reply.isBegun) this.#abandon(this.#cut(why, ending));
    else this.#abandon({ kind: 'lost', why, ending, earlier: this.#connection.requests - 1 });
  }

  /** A resumption that fails before its answer begins leaves the stream that was relayed so far. */
  #cut(why: string, ending?: ConnectionEnding): SendOutcome {
    const earlier = this.#connection.requests - 1;
    return { kind: 'cut', why, ending, earlier, isStream: this.#head?.isEventStream ?? true };
  }

  /** Ends the attempt and destroys its connection, on which parts of the answer may still arrive. */
  #abandon(outcome: SendOutcome): void {
    if (this.#stage === 'done') return;
    this.#finish(outcome);
    this.#connection.destroy();
  }

  #finish(outcome: SendOutcome): void {
    this.#stage = 'done';
    this.#timeoutTimer.clear();
    this.#answerTimer?.clear();
    this.#discardTimer?.clear();
    this.#flow.end();
    const { reply, events } = this.cfg.call;
    reply.onDisconnect = () => undefined;
    reply.onStop = () => undefined;
    reply.onDrain = () => undefined;
    events.discardPartial();
    this.settle(outcome);
  }
}

/**
 * Sends a request to one upstream and relays its answer.
 * @param cfg - the request, the connections, time limits and callbacks
 * @returns how the attempt ended
 */
export function attemptCall(cfg: AttemptConfig): Promise<SendOutcome> {
  if (cfg.call.reply.isDisconnected) return Promise.resolve({ kind: 'left' });
  let connection: UpstreamConnection;
  try {
    connection = cfg.connections.take();
  } catch (err) {
    return Promise.resolve({ kind: 'unsent', why: String(err) });
  }
  return new Promise((resolve) => {
    new Attempt(cfg, connection, resolve).start();
  });
}
