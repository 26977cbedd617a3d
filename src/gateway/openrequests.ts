/** Requests of callers that have not ended. */
import type { Clock } from '../kernel/index.js';
import type { StopLoad } from './stopping.js';

/** How far a request has come: its body is read, it waits for its turn, or it runs. */
export type RequestStage = 'reading' | 'queued' | 'running';

/** One open request. */
interface OpenRequest {
  /** Id of the caller's attempt; empty until the headers are decoded. */
  id: string;
  /** Name of its route; "none" until it is known. */
  route: string;
  stage: RequestStage;
  /** When it arrived, in milliseconds. */
  readonly since: number;
  /** Ends the request at once. */
  stop: () => void;
}

/** One open request, as listed. */
export interface ListedRequest {
  readonly id: string;
  readonly route: string;
  readonly stage: RequestStage;
  /** Time since its arrival, in milliseconds. */
  readonly openMs: number;
}

/** Handle of one open request. */
export interface RequestHandle {
  /** Id of the caller's attempt; empty until "describe" is called. */
  readonly id: string;
  /**
   * Adds what is known of the request once its headers are decoded.
   * @param id - id of the caller's attempt
   * @param route - name of its route
   */
  readonly describe: (id: string, route: string) => void;
  /**
   * Records how far the request has come.
   * @param stage - the stage that it has reached
   */
  readonly reach: (stage: RequestStage) => void;
  /**
   * Sets what ends the request at once.
   * @param stop - called when the process is about to exit
   */
  readonly onStop: (stop: () => void) => void;
  /** Removes the request; called when its answer has ended. */
  readonly end: () => void;
}

/** Keeps the open requests of one daemon. */
export class OpenRequests {
  readonly #open = new Set<OpenRequest>();

  #arrivedAt = Number.NEGATIVE_INFINITY;

  #taken = 0;

  #isStopped = false;

  /**
   * Creates an empty set.
   * @param clock - steady clock
   */
  constructor(private readonly clock: Clock) {}

  /** Number of open requests, and when the last one arrived. */
  get load(): StopLoad {
    return { active: this.#open.size, arrivedAt: this.#arrivedAt };
  }

  /** Number of open requests that wait for their turn or run. */
  get taken(): number {
    return this.#taken;
  }

  /** Number of open requests in each stage. */
  get stages(): Readonly<Record<RequestStage, number>> {
    const counts = { reading: 0, queued: 0, running: 0 };
    this.#open.forEach(({ stage }) => {
      counts[stage] += 1;
    });
    return counts;
  }

  /** Whether all open requests were ended, as the process is about to exit. */
  get isStopped(): boolean {
    return this.#isStopped;
  }

  /**
   * Adds a request that arrives.
   * @returns its handle
   */
  add(): RequestHandle {
    this.#arrivedAt = this.clock.now();
    const request: OpenRequest = {
      id: '',
      route: 'none',
      stage: 'reading',
      since: this.#arrivedAt,
      stop: () => undefined,
    };
    this.#open.add(request);
    return {
      get id() {
        return request.id;
      },
      describe: (id, route) => {
        request.id = id;
        request.route = route;
      },
      reach: (stage) => {
        if (request.stage === 'reading') this.#taken += 1;
        request.stage = stage;
      },
      onStop: (stop) => {
        request.stop = stop;
        if (this.#isStopped) stop();
      },
      end: () => {
        if (this.#open.delete(request) && request.stage !== 'reading') this.#taken -= 1;
      },
    };
  }

  /** Ends all open requests at once, and those that have yet to say what ends them as soon as they do. */
  stopAll(): void {
    this.#isStopped = true;
    [...this.#open].forEach(({ stop }) => stop());
  }

  /**
   * Lists the open requests.
   * @returns the requests in the order of their arrival
   */
  list(): readonly ListedRequest[] {
    const now = this.clock.now();
    return [...this.#open].map(({ id, route, stage, since }) => ({
      id,
      route,
      stage,
      openMs: Math.round(now - since),
    }));
  }
}
