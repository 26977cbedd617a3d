/** A caller: sends requests and keeps what it received, byte for byte. */
import { request } from 'undici';

/** What a caller received. */
export interface ReceivedAnswer {
  readonly status: number;
  readonly key: string;
  /** Everything that came, as text. */
  readonly text: string;
  /** Content of the answer, without the events around it. */
  readonly content: string;
  /** Whether the end marker came. */
  readonly isComplete: boolean;
  /** Failure code of a refusal or a cut; undefined for a whole answer. */
  readonly code: string | undefined;
  /** Outcome that a refusal or a cut states. */
  readonly outcome: string | undefined;
  /** Time to the first byte of the body, in milliseconds. */
  readonly firstMs: number;
}

/** A model request of a caller. */
export interface ModelCall {
  readonly url: string;
  readonly apiKey: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly key?: string;
  /** Called with each chunk. */
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
  // The connection broke before the headers.
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
 * Sends a streamed model request and reads the answer to its end.
 * @param ask - the request
 * @returns what was received; status 0 if the connection broke before the headers
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

/** A call of a caller to a plain service. */
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
 * @returns what was received; status 0 if the connection broke
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
