/** Priority queue of timed events, as a binary heap. */

/** A callback that runs at a simulated time. */
export interface TimedEvent {
  /** Simulated time in milliseconds. */
  readonly at: number;
  readonly run: () => void;
}

/** Returns events in order of their times. */
export class EventHeap {
  readonly #events: TimedEvent[] = [];

  /**
   * Adds an event.
   * @param event - the event
   */
  push(event: TimedEvent): void {
    const events = this.#events;
    let at = events.length;
    events.push(event);
    while (at > 0) {
      const parent = Math.floor((at - 1) / 2);
      const above = events[parent];
      if (!above || above.at <= event.at) break;
      events[at] = above;
      at = parent;
    }
    events[at] = event;
  }

  /**
   * Removes the earliest event.
   * @returns the event; undefined if the heap is empty
   */
  pop(): TimedEvent | undefined {
    const events = this.#events;
    const [first] = events;
    const last = events.pop();
    if (!first || !last || events.length === 0) return first;
    let at = 0;
    for (;;) {
      let child = 2 * at + 1;
      const left = events[child];
      if (!left) break;
      const right = events[child + 1];
      const smaller = right && right.at < left.at ? right : left;
      if (smaller === right) child += 1;
      if (smaller.at >= last.at) break;
      events[at] = smaller;
      at = child;
    }
    events[at] = last;
    return first;
  }
}
