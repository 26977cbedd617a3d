/** Serves one model request by streaming the engine's answer to the caller. */
import { failure } from '../kernel/index.js';
import { outputLimit } from '../request/index.js';
import { prefixDigests } from '../route/index.js';
import { RequestRun } from './requestrun.js';

import type { UpstreamDocument } from '../config/index.js';
import type { Failure, Result } from '../kernel/index.js';
import type { ChatRequest, ServeEvent } from '../request/index.js';
import type { ModelCall, StreamItem } from '../upstream/index.js';
import type { AnswerSink } from './answersink.js';
import type { RunInput } from './requestrun.js';

/** Priority numbers of the engine protocol; lower numbers are served first. */
const ENGINE_PRIORITIES = { urgent: 0, normal: 1, bulk: 2 } as const;

/** Runs a request on a model engine. */
export class ModelRun extends RequestRun {
  #stream: AsyncIterable<StreamItem> | undefined;

  #attempt: { readonly url: string; readonly id: string } | undefined;

  #digests: readonly number[] | undefined;

  /**
   * Creates the run of one model request.
   * @param input - tenant, route, idempotency key and shared components
   * @param req - parsed body of the request
   * @param sink - writes the answer to the caller
   */
  constructor(
    input: RunInput,
    private readonly req: ChatRequest,
    private readonly sink: AnswerSink,
  ) {
    super(input);
  }

  protected override async send(
    upstream: UpstreamDocument,
    attempt: string,
  ): Promise<Result<void, Failure>> {
    const { serving, signal } = this.input;
    this.#attempt = { url: upstream.url, id: attempt };
    const opened = await serving.engine.generate(upstream.url, this.#buildCall(attempt), signal);
    if (opened.err) {
      if (opened.val.outcome !== 'not-run') this.#cancelAttempt();
      return RequestRun.rejected(opened.val);
    }
    this.#stream = opened.val;
    return RequestRun.accepted();
  }

  protected override async relayAnswer(): Promise<ServeEvent> {
    for await (const item of this.#stream ?? []) {
      if (item.kind === 'part') {
        this.noteFirstByte();
        await this.sink.write(item.bytes);
      } else if (item.kind === 'cut') return this.#failAnswer(item.reason);
      else {
        const units = item.usage.promptTokens + item.usage.completionTokens;
        return { type: 'answered', units };
      }
    }
    return this.#failAnswer('the stream has no end');
  }

  protected override promptDigests(): readonly number[] {
    this.#digests ??= prefixDigests(this.input.tenant.workspace.name, this.req.messages);
    return this.#digests;
  }

  /** Asks the engine to stop generating, because the answer is no longer needed. */
  #cancelAttempt(): void {
    const { serving, key } = this.input;
    if (!this.#attempt) return;
    serving.recorder.record('attemptCancelled', { request: key });
    void serving.engine.cancel(this.#attempt.url, this.#attempt.id);
  }

  #failAnswer(reason: string): ServeEvent {
    this.#cancelAttempt();
    this.sink.discard();
    const outcome = this.sink.started ? 'interrupted' : 'unknown';
    const fail = failure('upstream-lost', reason, outcome);
    return { type: 'cut', fail, relayed: this.sink.started };
  }

  #buildCall(id: string): ModelCall {
    const { route } = this.input;
    return {
      id,
      model: this.req.model,
      messages: this.req.messages,
      maxTokens: outputLimit(this.req, route),
      priority: ENGINE_PRIORITIES[route.priority],
      prefixDigests: this.promptDigests(),
      firstByteMs: route.firstByteMs,
      silenceMs: route.silenceMs,
    };
  }
}
