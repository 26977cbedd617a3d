/** Caller client for tests: sends requests and returns the raw answers. */
import { request } from 'undici';

/** Answer to one request as the caller received it. */
export interface ReceivedAnswer {
  /** HTTP status; 0 if the connection broke before the headers. */
  readonly status: number;
  /** Idempotency key of the request. */
  readonly key: string;
  /** Body as text, byte for byte. */
  readonly text: string;
  /** Text of a model answer, concatenated from its events; the body of a service answer. */
  readonly content: string;
  /** Whether the answer ended with "[DONE]"; for a service, whether its status is 200. */
  readonly isComplete: boolean;
  /** Failure code of a refused request or an interrupted answer; undefined for a complete one. */
  readonly code: string | undefined;
  /** Outcome in the error of a refused request or an interrupted answer. */
  readonly outcome: string | undefined;
  /** Time to the first byte of a model answer's body, in milliseconds; 0 without a body. */
  readonly firstMs: number;
}

/** Parameters of one model request. */
export interface ModelCall {
  readonly url: string;
  readonly apiKey: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  /** Idempotency key; the daemon generates one if absent. */
  readonly key?: string;
  /** Called with each chunk of the body. */
  readonly onChunk?: (chunk: string) => void;
  readonly signal?: AbortSignal;
}

interface ErrorBody {
  readonly error?: { readonly code: string; readonly outcome: string };
}

function eventsOf(text: string): readonly string[] {
  return text
    .split('\n\n')
    .filter((event) => event.startsWith('data: '))
    .map((event) => event.slice('data: '.length));
}

function contentOf(event: string): string {
  const parsed = JSON.parse(event) as {
    readonly choices?: readonly { readonly delta?: { readonly content?: string } }[];
  };
  return parsed.choices?.[0]?.delta?.content ?? '';
}

function errorOf(status: number, text: string): ErrorBody['error'] {
  // Status 0: the connection broke before the headers, so there is no body.
  if (status === 0) return undefined;
  if (status !== 200) return (JSON.parse(text) as ErrorBody).error;
  const last = eventsOf(text).at(-1);
  if (last?.startsWith('{"error"')) return (JSON.parse(last) as ErrorBody).error;
  return undefined;
}

function summarise(status: number, key: string, text: string, firstMs: number): ReceivedAnswer {
  const events = status === 200 ? eventsOf(text) : [];
  const content = events
    .filter((event) => event !== '[DONE]' && !event.startsWith('{"error"'))
    .map(contentOf)
    .join('');
  const error = errorOf(status, text);
  return {
    status,
    key,
    text,
    content,
    isComplete: events.at(-1) === '[DONE]',
    code: error?.code,
    outcome: error?.outcome,
    firstMs,
  };
}

/**
 * Sends a streaming model request and reads the answer to its end.
 * @param ask - the request
 * @returns the answer; status 0 if the connection broke before the headers
 */
export async function callModel(ask: ModelCall): Promise<ReceivedAnswer> {
  const startedAt = performance.now();
  let text = '';
  let status = 0;
  let key = ask.key ?? '';
  let firstMs = 0;
  try {
    const res = await request(`${ask.url}/v1/chat/completions`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${ask.apiKey}`,
        'content-type': 'application/json',
        ...(ask.key === undefined ? {} : { 'idempotency-key': ask.key }),
      },
      body: JSON.stringify({
        model: ask.model,
        stream: true,
        max_tokens: ask.maxTokens,
        messages: [{ role: 'user', content: ask.prompt }],
      }),
      signal: ask.signal ?? null,
      headersTimeout: 60_000,
      bodyTimeout: 60_000,
    });
    status = res.statusCode;
    key = String(res.headers['idempotency-key'] ?? key);
    for await (const chunk of res.body) {
      if (firstMs === 0) firstMs = performance.now() - startedAt;
      text += String(chunk);
      ask.onChunk?.(String(chunk));
    }
  } catch {
    return { ...summarise(status === 200 ? 200 : 0, key, '', firstMs), text, isComplete: false };
  }
  return summarise(status, key, text, firstMs);
}

/** Parameters of one call to a plain service. */
export interface ServiceCall {
  readonly url: string;
  readonly apiKey: string;
  readonly route: string;
  readonly path: string;
  readonly key: string;
  readonly body: unknown;
}

/**
 * Calls a plain service.
 * @param call - the call
 * @returns the answer; status 0 if the connection broke
 */
export async function callService(call: ServiceCall): Promise<ReceivedAnswer> {
  try {
    const res = await request(`${call.url}/services/${call.route}${call.path}`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${call.apiKey}`,
        'content-type': 'application/json',
        'idempotency-key': call.key,
      },
      body: JSON.stringify(call.body),
      headersTimeout: 60_000,
    });
    const text = await res.body.text();
    const { error } = JSON.parse(text) as ErrorBody;
    return {
      status: res.statusCode,
      key: call.key,
      text,
      content: text,
      isComplete: res.statusCode === 200,
      code: error?.code,
      outcome: error?.outcome,
      firstMs: 0,
    };
  } catch {
    return { ...summarise(0, call.key, '', 0), isComplete: false };
  }
}
