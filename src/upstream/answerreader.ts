/** Reads the event stream of an engine as complete events, and checks that each belongs to the request. */
import * as z from 'zod';

import { EventSplitter } from './eventsplitter.js';

import type { ModelCall, StreamItem, Usage } from './modelcall.js';

/** The event that marks the end of a complete answer. */
const END_MARKER = Buffer.from('data: [DONE]\n\n');

const usageEventSchema = z.object({
  id: z.string(),
  usage: z.object({ prompt_tokens: z.number(), completion_tokens: z.number() }),
});

/** Reads the answer to one request. */
export class AnswerReader {
  readonly #splitter = new EventSplitter();

  readonly #prefix: Buffer;

  #usage: Usage | undefined;

  #events = 0;

  /**
   * Creates the reader of one answer.
   * @param call - the request, whose id every event of the answer must carry
   */
  constructor(call: ModelCall) {
    this.#prefix = Buffer.from(`data: {"id":${JSON.stringify(call.id)}`);
  }

  /**
   * Reads a response body.
   * @param body - chunks in the order of arrival
   * @returns parts, followed by exactly one end or cut
   */
  async *read(body: AsyncIterable<Buffer>): AsyncGenerator<StreamItem> {
    try {
      for await (const chunk of body) {
        const { complete, events } = this.#splitter.push(chunk);
        if (events > 0) {
          const item = this.#readEvents(complete, events);
          yield item;
          if (item.kind === 'cut') return;
          if (this.#endsWithMarker(complete)) {
            yield this.#end();
            return;
          }
        }
      }
      yield this.#cut('the stream ended without its end marker');
    } catch (err) {
      yield this.#cut(String(err));
    }
  }

  #endsWithMarker(complete: Buffer): boolean {
    return (
      complete.length >= END_MARKER.length &&
      complete.subarray(-END_MARKER.length).equals(END_MARKER)
    );
  }

  #readEvents(complete: Buffer, events: number): StreamItem {
    let start = 0;
    for (let index = 0; index < events; index += 1) {
      const end = complete.indexOf('\n\n', start) + 2;
      if (!this.#isOwnEvent(complete, start, end)) return this.#cut('an event of another request');
      start = end;
    }
    this.#events += events;
    const bytes = this.#endsWithMarker(complete)
      ? complete.subarray(0, -END_MARKER.length)
      : complete;
    return { kind: 'part', bytes, events };
  }

  #isOwnEvent(complete: Buffer, start: number, end: number): boolean {
    const marker =
      end - start === END_MARKER.length && complete.subarray(start, end).equals(END_MARKER);
    if (marker) return true;
    const head = complete.subarray(start, start + this.#prefix.length);
    if (!head.equals(this.#prefix)) return false;
    if (complete.subarray(start, end).includes('"usage":{')) this.#readUsage(complete, start, end);
    return true;
  }

  #readUsage(complete: Buffer, start: number, end: number): void {
    const text = complete.toString('utf8', start + 'data: '.length, end);
    const { usage } = usageEventSchema.parse(JSON.parse(text));
    this.#usage = {
      promptTokens: usage.prompt_tokens,
      completionTokens: usage.completion_tokens,
    };
  }

  #end(): StreamItem {
    if (!this.#usage) return this.#cut('the answer carries no usage');
    return { kind: 'end', usage: this.#usage };
  }

  #cut(reason: string): StreamItem {
    return { kind: 'cut', reason, events: this.#events };
  }
}
