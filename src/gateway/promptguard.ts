/** Keeps one request from upstreams that would crash on its prompt, and reports how its attempts ended. */
import { failure } from '../kernel/index.js';
import { sharedPartsOf } from '../route/index.js';
import { nameParts } from './crashwatch.js';

import type { Failure } from '../kernel/index.js';
import type { Call } from './attempt.js';
import type { AttemptProgress } from './attemptprogress.js';
import type { CrashWatch } from './crashwatch.js';
import type { AnswerHead } from './protocol.js';
import type { SendOutcome } from './serve.js';
import type { KnownUpstream } from './upstreampool.js';

/** Number of upstreams that may crash on a request before it is no longer sent again. */
const MAX_CRASHES = 2;

/** Lowest status code of an answer that does not show that the prompt was processed. */
const FIRST_FAILURE_STATUS = 400;

/** Watches the attempts of one request. */
export class PromptGuard {
  readonly #parts: readonly string[];

  /** Number of attempts whose upstream ended the connection without an answer. */
  #crashes = 0;

  /**
   * Creates the guard of a request.
   * @param watch - what is known of prompt parts
   * @param call - the request
   */
  constructor(
    private readonly watch: CrashWatch,
    private readonly call: Call,
  ) {
    this.#parts = sharedPartsOf(call.head.prompt);
  }

  /** Why the request is refused; undefined if it may be sent, possibly as a trial. */
  get rejection(): Failure | undefined {
    return this.watch.rejectionOf(this.#parts);
  }

  /**
   * Decides whether the next attempt may be sent.
   * @returns why it may not, undefined if it may; at once unless a trial has to be claimed
   */
  admit(): Failure | undefined | Promise<Failure | undefined> {
    if (this.#crashes >= MAX_CRASHES) return failure('prompt-rejected', nameParts(this.#parts));
    return this.watch.admit(this.#parts, this.call.head.id);
  }

  /**
   * Handles the head or a chunk of an answer.
   * @param progress - the attempt
   * @param head - the head; undefined for a chunk
   */
  noteProgress(progress: AttemptProgress, head: AnswerHead | undefined): void {
    if (progress.noteProgress(head)) this.watch.noteAnswer(this.#parts);
  }

  /**
   * Handles the end of an attempt.
   * @param upstream - the upstream
   * @param outcome - how it ended
   * @param progress - the attempt
   * @returns resolves when the request may be sent again: if its prompt was suspected before, once it is known
   * whether the upstream has crashed
   */
  async noteEnd(
    upstream: KnownUpstream,
    outcome: SendOutcome,
    progress: AttemptProgress,
  ): Promise<void> {
    const isRelayed = outcome.kind === 'relayed';
    // The end of the connection also completes an answer without length and chunks whose upstream has crashed.
    const mayBeCrash = isRelayed && outcome.ending !== 'open' && !progress.hasOutput;
    const isAnswered = isRelayed && outcome.status < FIRST_FAILURE_STATUS && !mayBeCrash;
    if (isAnswered || progress.events > 0) {
      this.watch.noteAnswer(this.#parts);
      return;
    }
    const isBroken = (outcome.kind === 'lost' || outcome.kind === 'cut') && outcome.ending;
    if (!isBroken && !mayBeCrash) return;
    if (this.#parts.length > 0) this.#crashes += 1;
    await this.watch.noteLost(upstream, this.#parts, progress.sentAt);
  }
}
