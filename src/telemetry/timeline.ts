/** Ring buffer of the events that a daemon keeps in memory for the timeline. */
import type { Incarnation, Stamp } from '../kernel/index.js';
import type { EventName } from './events.js';

/** Subject of an event; queries of the timeline filter by request, budget and plan. */
export interface EventSubject {
  readonly request?: string;
  readonly budget?: string;
  readonly plan?: string;
  readonly peer?: string;
  readonly upstream?: string;
  readonly detail?: string;
  /** Inputs of a decision, with their age or version, and its outcome. */
  readonly facts?: Readonly<Record<string, string | number | boolean>>;
}

/** One recorded event. */
export interface TimelineEvent {
  readonly stamp: Stamp;
  readonly source: Incarnation;
  readonly number: number;
  readonly name: EventName;
  readonly subject: EventSubject;
}

/** Keeps the newest events; when it is full, a new event overwrites the oldest. */
export class Timeline {
  readonly #ring: TimelineEvent[] = [];

  #next = 0;

  /**
   * Creates an empty ring buffer.
   * @param capacity - largest number of events that are kept
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
   * Lists the kept events.
   * @returns the events, oldest first
   */
  list(): readonly TimelineEvent[] {
    return [...this.#ring.slice(this.#next), ...this.#ring.slice(0, this.#next)];
  }
}
