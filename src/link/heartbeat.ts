/** Heartbeats of one side of a peer link, and the detection that the other side has fallen silent. */

/** Interval between heartbeats, in milliseconds. */
const HEARTBEAT_INTERVAL_MS = 1_000;

/** Number of whole intervals without any received frame after which a link counts as silent. */
const SILENT_INTERVALS = 3;

/** Callbacks of a heartbeat. */
export interface HeartbeatEvents {
  /** Called once in each interval. */
  readonly onBeat: () => void;
  /** Called when the other side has been silent for too long. */
  readonly onSilent: () => void;
}

/**
 * Sends heartbeats and counts the intervals in which nothing was received. A stall of the process counts as one interval
 * however long it is, as nothing can be received during it.
 */
export class Heartbeat {
  readonly #timer: NodeJS.Timeout;

  #immediate: NodeJS.Immediate | undefined;

  /** Number of beats since the last frame. */
  #silentBeats = 0;

  /**
   * Starts the heartbeat.
   * @param events - callbacks
   */
  constructor(private readonly events: HeartbeatEvents) {
    this.#timer = setInterval(() => this.#beat(), HEARTBEAT_INTERVAL_MS);
  }

  /** Records that a frame was received. */
  noteReceived(): void {
    this.#silentBeats = 0;
  }

  /** Stops the heartbeat. */
  stop(): void {
    clearInterval(this.#timer);
    clearImmediate(this.#immediate);
  }

  get #isSilent(): boolean {
    return this.#silentBeats > SILENT_INTERVALS;
  }

  #beat(): void {
    this.#silentBeats += 1;
    if (!this.#isSilent) {
      this.events.onBeat();
      return;
    }
    // Frames may wait unread until the sockets are polled, which is done before immediates run.
    this.#immediate = setImmediate(() => {
      if (this.#isSilent) this.events.onSilent();
      else this.events.onBeat();
    });
  }
}
