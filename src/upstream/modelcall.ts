/** A model request and the stream that answers it, as plain data. */

/** One message of a chat. */
export interface ChatMessage {
  readonly role: string;
  readonly content: string;
}

/** A model request as it goes to an upstream. */
export interface ModelCall {
  /** Unique for each attempt; the engine puts it on every event of the answer. */
  readonly id: string;
  readonly model: string;
  readonly messages: readonly ChatMessage[];
  /** Output limit, always sent. */
  readonly maxTokens: number;
  readonly priority: number;
  /** Digests of the prompt at its block boundaries; the engine names them in its cache events. */
  readonly prefixDigests: readonly number[];
  /** Longest wait for the first byte, in milliseconds. */
  readonly firstByteMs: number;
  /** Longest silence within the answer, in milliseconds. */
  readonly silenceMs: number;
}

/** Tokens that a request used. */
export interface Usage {
  readonly promptTokens: number;
  readonly completionTokens: number;
}

/** Whole events of an answer, ready to be relayed. */
export interface StreamPart {
  readonly kind: 'part';
  /** Server-sent events, each whole. */
  readonly bytes: Buffer;
  /** Events in the part. */
  readonly events: number;
}

/** The end of a whole answer. */
export interface StreamEnd {
  readonly kind: 'end';
  readonly usage: Usage;
}

/** The stream ended before the answer did. */
export interface StreamCut {
  readonly kind: 'cut';
  readonly reason: string;
  /** Events that were relayed before. */
  readonly events: number;
}

/** One item of an answer stream. */
export type StreamItem = StreamPart | StreamEnd | StreamCut;
