/** An event that happens once, with its listeners. */
export class Occurrence {
  readonly #listeners = new Set<() => void>();

  #hasHappened = false;

  /** Calls the listeners; only the first call has an effect. */
  happen(): void {
    if (this.#hasHappened) return;
    this.#hasHappened = true;
    const listeners = [...this.#listeners];
    this.#listeners.clear();
    listeners.forEach((listener) => listener());
  }

  /**
   * Adds a listener; it is called at once if the event has happened.
   * @param listener - called at most once
   * @returns function that removes the listener
   */
  listen(listener: () => void): () => void {
    if (this.#hasHappened) listener();
    else this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }
}
