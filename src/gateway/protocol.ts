/** Decoded headers of requests and answers, and the interface of their codec. */

/** Status with which an upstream answers a request that is addressed to another one: the entry of that one is wrong. */
export const MISDIRECTED_STATUS = 421;

/** A part of a prompt that several requests may share. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Size of a request to a model, in tokens. */
export interface TokenUsage {
  readonly promptTokens: number;
  /** Maximum number of tokens in the answer. */
  readonly outputTokens: number;
}

/** Decoded headers of a caller's request. */
export interface CallHead {
  /** Id that the caller gives to this attempt of its request. */
  readonly id: string;
  /** Time that the caller waits, in milliseconds; undefined if it sends none. */
  readonly deadlineMs: number | undefined;
  /** API key; undefined if the request carries none. */
  readonly key: string | undefined;
  /** Undefined for requests that use no tokens. */
  readonly usage: TokenUsage | undefined;
  /** Parts of the prompt, in order. */
  readonly prompt: readonly PromptPart[];
  /** Id of the last event that the caller received, if it resumes a stream. */
  readonly resumeAfter: string | undefined;
  /** Headers that are forwarded unchanged, as alternating names and values. */
  readonly forward: readonly string[];
}

/** Values of the headers that the router adds to a request. */
export interface SendHead {
  /** Id of the only upstream that may run the request. */
  readonly upstream: string;
  /** Time left until the time limit of the request, in milliseconds; undefined for no limit. */
  readonly deadlineMs: number | undefined;
  readonly workspace: string | undefined;
  /** Id of the last event that the caller received, if the stream is resumed. */
  readonly resumeAfter: string | undefined;
  /** Priority at the upstream, 0 to 9; undefined for the default. */
  readonly urgency: number | undefined;
}

/** Load that an upstream reports in the headers of an answer. */
export interface UpstreamLoad {
  /** Number of requests that run. */
  readonly running: number;
  /** Number of requests that wait for a slot. */
  readonly waiting: number;
  readonly slots: number;
  /** Time that work takes there now, in percent of the usual time; missing if the upstream does not state it. */
  readonly pacePercent?: number;
}

/** Number of requests per second that an upstream names; "unreadable" if it names one that is no decimal number. */
export type NamedLimit = number | 'unreadable';

/** Status and decoded headers of an upstream's answer. */
export interface AnswerHead {
  readonly status: number;
  /** Id of the caller's attempt that it answers; undefined if the header is missing. */
  readonly id: string | undefined;
  /** Whether the upstream reports that it has not run the request. */
  readonly isNotRun: boolean;
  /** Whether the upstream that answers announces that it leaves and must receive no further requests. */
  readonly isLeaving: boolean;
  /** Time for which the upstream asks to receive no requests, in milliseconds; undefined if it does not. */
  readonly pauseMs: number | undefined;
  /** Requests that it accepts from all daemons together; undefined if it names no limit. */
  readonly limitPerSecond: NamedLimit | undefined;
  readonly isEventStream: boolean;
  /** Whether the body is delimited by a length or chunks; otherwise the end of the connection ends it. */
  readonly isFramed: boolean;
  readonly load: UpstreamLoad | undefined;
  /** Headers that are returned to the caller unchanged, as alternating names and values. */
  readonly forward: readonly string[];
}

/** Decodes and encodes the headers of callers and upstreams. */
export abstract class HeaderCodec {
  /**
   * Decodes the headers of a caller's request.
   * @param raw - alternating names and values
   * @returns the decoded headers
   */
  abstract decodeCall(raw: readonly string[]): CallHead;

  /**
   * Encodes the headers of a request to an upstream.
   * @param call - decoded headers of the caller's request
   * @param send - values that the router adds
   * @returns alternating names and values
   */
  abstract encodeSend(call: CallHead, send: SendHead): string[];

  /**
   * Decodes the headers of an upstream's answer.
   * @param status - status code
   * @param raw - alternating names and values
   * @returns status and decoded headers
   */
  abstract decodeAnswer(status: number, raw: readonly string[]): AnswerHead;

  /**
   * Encodes the retry delay for a refused caller.
   * @param delayMs - delay, in milliseconds
   * @returns the header
   */
  abstract retryAfter(delayMs: number): Readonly<Record<string, string>>;
}
