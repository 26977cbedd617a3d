/** Bounded ring of events that a daemon keeps in memory for the time line. */
import type { Incarnation, Stamp } from '../kernel/index.js';
import type { EventName } from './events.js';

/** What an event is about; the time line filters by these. */
export interface EventSubject {
  readonly request?: string;
  readonly budget?: string;
  readonly plan?: string;
  readonly peer?: string;
  readonly upstream?: string;
  readonly detail?: string;
  /** Inputs that decided, with their age or version, and the outcome. */
  readonly facts?: Readonly<Record<string, string | number | boolean>>;
}

/** One event of one process. */
export interface TimelineEvent {
  readonly stamp: Stamp;
  readonly source: Incarnation;
  readonly number: number;
  readonly name: EventName;
  readonly subject: EventSubject;
}

/** Keeps the newest events and forgets the oldest. */
export class Timeline {
  readonly #ring: TimelineEvent[] = [];

  #next = 0;

  /**
   * Creates a ring.
   * @param capacity - number of events that are kept
   */
  constructor(private readonly capacity: number) {}

  /**
   * Adds an event.
   * @param event - the event
   */
  add(event: TimelineEvent): void {
    this.#ring[this.#next] = event;
    this.#next = (this.#next + 1) % this.capacity;
  }

  /**
   * Lists what is kept.
   * @returns the events, oldest first
   */
  list(): readonly TimelineEvent[] {
    return [...this.#ring.slice(this.#next), ...this.#ring.slice(0, this.#next)];
  }
}
