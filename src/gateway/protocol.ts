/** What a request and an answer say of themselves, apart from how their headers spell it. */

/** A part of a prompt that several requests may share. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Size of a model request. */
export interface TokenUsage {
  readonly promptTokens: number;
  /** Most tokens that the answer may hold. */
  readonly outputTokens: number;
}

/** What a caller's request says. */
export interface CallHead {
  /** Id of this attempt of the caller. */
  readonly id: string;
  /** How long the caller waits, in milliseconds; undefined where it does not say. */
  readonly deadlineMs: number | undefined;
  readonly key: string | undefined;
  /** Undefined for requests that use no tokens. */
  readonly usage: TokenUsage | undefined;
  readonly prompt: readonly PromptPart[];
  /** Last event that the caller has, where it resumes a stream. */
  readonly resumeAfter: string | undefined;
  /** Header names and values that pass on unchanged, in turns. */
  readonly forward: readonly string[];
}

/** What the router adds to a request. */
export interface SendHead {
  /** Id of the upstream that alone may take the request. */
  readonly upstream: string;
  /** Time that is left, in milliseconds; undefined for no limit. */
  readonly deadlineMs: number | undefined;
  readonly workspace: string | undefined;
  readonly resumeAfter: string | undefined;
  /** Rank at the upstream, 0 to 9; undefined for the default. */
  readonly urgency: number | undefined;
}

/** Load of an upstream as one of its answers tells it. */
export interface UpstreamLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** What an upstream's answer says. */
export interface AnswerHead {
  readonly status: number;
  /** Id of the attempt that it answers; undefined where it does not say. */
  readonly id: string | undefined;
  /** Whether the upstream states that it has not run the request. */
  readonly isNotRun: boolean;
  readonly isEventStream: boolean;
  /** Whether the body has a length of its own or ends with the connection. */
  readonly isFramed: boolean;
  readonly load: UpstreamLoad | undefined;
  /** Header names and values that pass back unchanged, in turns. */
  readonly forward: readonly string[];
}

/** Reads and writes the headers that callers and upstreams use. */
export abstract class HeaderCodec {
  /**
   * Decodes the headers of a caller's request.
   * @param raw - names and values in turns
   * @returns what they say
   */
  abstract decodeCall(raw: readonly string[]): CallHead;

  /**
   * Encodes the headers of a request to an upstream.
   * @param call - the caller's request
   * @param send - what the router adds
   * @returns names and values in turns
   */
  abstract encodeSend(call: CallHead, send: SendHead): string[];

  /**
   * Decodes the headers of an upstream's answer.
   * @param status - status code
   * @param raw - names and values in turns
   * @returns what they say
   */
  abstract decodeAnswer(status: number, raw: readonly string[]): AnswerHead;

  /**
   * Encodes when a refused caller may come back.
   * @param delayMs - milliseconds from now
   * @returns the header
   */
  abstract retryAfter(delayMs: number): Readonly<Record<string, string>>;
}
