/** Buffers a model answer and sends it as one JSON body. */
import * as z from 'zod';

import type { ServerResponse } from 'node:http';
import { FAILURE_KINDS, formatFailure, retryAfter } from '../kernel/index.js';
import { AnswerSink } from './answersink.js';

import type { Failure } from '../kernel/index.js';

const eventSchema = z.object({
  id: z.string(),
  model: z.string().default(''),
  choices: z
    .array(
      z.object({
        delta: z.object({ content: z.string().default('') }).default({ content: '' }),
        finish_reason: z.string().nullable().default(null),
      }),
    )
    .default([]),
  usage: z.unknown().optional(),
});

type AnswerEvent = z.infer<typeof eventSchema>;

function parseEvents(bytes: Buffer): readonly AnswerEvent[] {
  return bytes
    .toString()
    .split('\n\n')
    .filter((text) => text.startsWith('data: {'))
    .map((text) => eventSchema.parse(JSON.parse(text.slice('data: '.length))));
}

/** Buffers the events of an answer until it is complete. */
export class JsonSink extends AnswerSink {
  readonly started = false;

  #events: AnswerEvent[] = [];

  /**
   * Creates the sink of one answer.
   * @param res - response of the caller's request
   * @param key - idempotency key, returned to the caller
   */
  constructor(
    private readonly res: ServerResponse,
    private readonly key: string,
  ) {
    super();
  }

  override async write(bytes: Buffer): Promise<void> {
    // Parsed immediately: an invalid event must fail before the answer is charged.
    this.#events.push(...parseEvents(bytes));
  }

  override discard(): void {
    this.#events = [];
  }

  override finish(): void {
    this.#send(200, this.#buildCompletion());
  }

  override refuse(fail: Failure): void {
    this.#send(FAILURE_KINDS[fail.code].status, formatFailure(fail), retryAfter(fail));
  }

  #buildCompletion(): unknown {
    const events = this.#events;
    const choices = events.flatMap((event) => event.choices);
    const content = choices.map(({ delta }) => delta.content).join('');
    return {
      id: events[0]?.id,
      object: 'chat.completion',
      model: events[0]?.model,
      choices: [
        {
          index: 0,
          message: { role: 'assistant', content },
          finish_reason:
            choices.findLast((choice) => choice.finish_reason)?.finish_reason ?? 'stop',
        },
      ],
      usage: events.findLast((event) => event.usage)?.usage,
    };
  }

  #send(status: number, body: unknown, headers: Readonly<Record<string, string>> = {}): void {
    this.res.writeHead(status, {
      'content-type': 'application/json',
      'idempotency-key': this.key,
      ...headers,
    });
    this.res.end(JSON.stringify(body));
  }
}
