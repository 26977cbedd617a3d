import test from 'ava';

import { AnswerReader } from '../answerreader.js';

import type { ModelCall, StreamItem } from '../modelcall.js';

const CALL: ModelCall = {
  id: 'mine',
  model: 'm',
  messages: [],
  prefixDigests: [],
  maxTokens: 4,
  priority: 1,
  firstByteMs: 1_000,
  silenceMs: 1_000,
};

const TOKEN = 'data: {"id":"mine","choices":[{"delta":{"content":"a"}}]}\n\n';
const USAGE = 'data: {"id":"mine","usage":{"prompt_tokens":3,"completion_tokens":2}}\n\n';
const DONE = 'data: [DONE]\n\n';
const WHOLE = TOKEN + TOKEN + USAGE + DONE;
const END = { kind: 'end', usage: { promptTokens: 3, completionTokens: 2 } } as const;

async function* bodyOf(chunks: readonly string[]): AsyncGenerator<Buffer> {
  for (const chunk of chunks) yield Buffer.from(chunk);
}

async function* brokenBody(): AsyncGenerator<Buffer> {
  yield Buffer.from(TOKEN);
  throw new Error('reset');
}

async function read(body: AsyncIterable<Buffer>): Promise<readonly StreamItem[]> {
  const items: StreamItem[] = [];
  for await (const item of new AnswerReader(CALL).read(body)) items.push(item);
  return items;
}

function relayed(items: readonly StreamItem[]): string {
  return items.flatMap((item) => (item.kind === 'part' ? [item.bytes.toString()] : [])).join('');
}

const MISSING_END_MARKER = {
  kind: 'cut',
  reason: 'the stream ended without its end marker',
  events: 2,
};

const ROWS = [
  {
    title: 'a complete answer in one chunk',
    chunks: [WHOLE],
    relayed: TOKEN + TOKEN + USAGE,
    last: END,
  },
  {
    title: 'a complete answer byte by byte',
    chunks: [...WHOLE],
    relayed: TOKEN + TOKEN + USAGE,
    last: END,
  },
  {
    title: 'a missing end marker',
    chunks: [TOKEN + TOKEN],
    relayed: TOKEN + TOKEN,
    last: MISSING_END_MARKER,
  },
  {
    title: 'a truncated event',
    chunks: [TOKEN + TOKEN + TOKEN.slice(0, 20)],
    relayed: TOKEN + TOKEN,
    last: MISSING_END_MARKER,
  },
  {
    title: 'an event of another request',
    chunks: [TOKEN, TOKEN.replace('mine', 'other'), WHOLE],
    relayed: TOKEN,
    last: { kind: 'cut', reason: 'an event of another request', events: 1 },
  },
  {
    title: 'an end marker without usage',
    chunks: [TOKEN + DONE],
    relayed: TOKEN,
    last: { kind: 'cut', reason: 'the answer carries no usage', events: 2 },
  },
] as const;

ROWS.forEach((row) => {
  test(`answer: ${row.title}`, async (t) => {
    const items = await read(bodyOf(row.chunks));
    t.is(relayed(items), row.relayed);
    t.deepEqual(items.at(-1), row.last as StreamItem);
  });
});

test('answer: a connection error yields a cut, not an end', async (t) => {
  const items = await read(brokenBody());
  t.deepEqual(items.at(-1), { kind: 'cut', reason: 'Error: reset', events: 1 });
});
