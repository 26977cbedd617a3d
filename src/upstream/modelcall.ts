/** Plain data types of a model request and of the stream that answers it. */

/** One message of a conversation. */
export interface ChatMessage {
  readonly role: string;
  readonly content: string;
}

/** A model request that is sent to an upstream. */
export interface ModelCall {
  /** Unique for each attempt; the engine includes it in every event of the answer. */
  readonly id: string;
  readonly model: string;
  readonly messages: readonly ChatMessage[];
  /** Limit of output tokens; always sent. */
  readonly maxTokens: number;
  readonly priority: number;
  /** Digests of the prompt prefixes that end at block boundaries; the cache events of the engine refer to them. */
  readonly prefixDigests: readonly number[];
  /** Longest wait for the first byte, in milliseconds. */
  readonly firstByteMs: number;
  /** Longest gap between two chunks of the answer, in milliseconds. */
  readonly silenceMs: number;
}

/** Token counts of a request. */
export interface Usage {
  readonly promptTokens: number;
  readonly completionTokens: number;
}

/** Complete events of an answer, to be relayed unchanged. */
export interface StreamPart {
  readonly kind: 'part';
  /** Bytes of complete server-sent events. */
  readonly bytes: Buffer;
  /** Number of events in the part. */
  readonly events: number;
}

/** End of a complete answer. */
export interface StreamEnd {
  readonly kind: 'end';
  readonly usage: Usage;
}

/** The stream ended, or became invalid, before the answer was complete. */
export interface StreamCut {
  readonly kind: 'cut';
  readonly reason: string;
  /** Number of events in the parts before. */
  readonly events: number;
}

/** One item of an answer stream. */
export type StreamItem = StreamPart | StreamEnd | StreamCut;
