/** Tasks (actors): each owns its state and is accessed only through messages. */

/** A queued message and the functions that settle the promise of its reply. */
interface QueuedMessage<Message, Reply> {
  readonly message: Message;
  readonly resolve: (reply: Reply) => void;
  readonly reject: (err: unknown) => void;
}

/** Actor that owns its state and handles one message at a time, in order of arrival. */
export abstract class Task<Message, Reply> {
  readonly #queue: QueuedMessage<Message, Reply>[] = [];

  #running = false;

  /**
   * Sends a message and waits for the reply.
   * @param message - the message
   * @returns the reply, after all earlier messages have been handled
   */
  ask(message: Message): Promise<Reply> {
    return new Promise<Reply>((resolve, reject) => {
      this.#queue.push({ message, resolve, reject });
      if (!this.#running) void this.#run();
    });
  }

  /** Number of queued messages, without the one being handled. */
  get backlog(): number {
    return this.#queue.length;
  }

  /**
   * Handles one message.
   * @param message - the message
   * @returns the reply
   */
  protected abstract handle(message: Message): Reply | Promise<Reply>;

  async #run(): Promise<void> {
    this.#running = true;
    for (let queued = this.#queue.shift(); queued; queued = this.#queue.shift()) {
      try {
        // Messages are handled in sequence, each after the previous one has completed.
        // eslint-disable-next-line no-await-in-loop
        queued.resolve(await this.handle(queued.message));
      } catch (err) {
        queued.reject(err);
      }
    }
    this.#running = false;
  }
}
