/** Connection of a caller for tests, told whether its caller waits for answers after the end of the caller's side. */
import { CallerConnection } from '../src/ingress/index.js';

/** Connection whose caller's side may have ended without its caller having left. */
export class ManualConnection extends CallerConnection {
  readonly #listeners: (() => void)[] = [];

  #isUnclear = false;

  override get isUnclear(): boolean {
    return this.#isUnclear;
  }

  override onHalfClosed(listener: () => void): () => void {
    this.#listeners.push(listener);
    return () => this.#listeners.splice(this.#listeners.indexOf(listener), 1);
  }

  /**
   * Ends the caller's side.
   * @param isKnown - whether it is known that the caller waits for its answers
   */
  endSide(isKnown: boolean): void {
    this.#isUnclear = !isKnown;
    if (isKnown) this.#listeners.forEach((listener) => listener());
  }
}
