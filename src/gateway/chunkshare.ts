/**
 * Limits the part of the event loop that the small chunks of one upstream's answers take. Each chunk takes time, however
 * few bytes it carries, and the HTTP client handles all that a socket holds at once.
 */

/** Size from which a chunk is not limited, in bytes: its bytes take as long as its handling. */
const LARGE_CHUNK_BYTES = 512;

/** Number of small chunks of one answer in a turn of the event loop that are not limited. */
const FREE_CHUNKS = 8;

/** Number of other small chunks of an upstream's answers in a turn of the event loop. */
const SHARED_CHUNKS = 256;

/** Schedules a task for the next turn of the event loop. */
export type NextTurn = (task: () => void) => void;

/** Small chunks of one answer. */
export interface AnswerChunks {
  /** Number of the turn of the event loop in which the last one arrived. */
  turn: number;
  /** How many have arrived in that turn. */
  count: number;
}

/** Share of the event loop for the small chunks of one upstream's answers, which take turns. */
export class ChunkShare {
  /** Functions that continue the answers that wait, in the order in which they began to. */
  readonly #waiting: (() => void)[] = [];

  #turn = 0;

  #isTurnOpen = false;

  /** Number of chunks that are left of the share in this turn. */
  #left = SHARED_CHUNKS;

  /**
   * Creates an unused share.
   * @param nextTurn - schedules the next turn
   */
  constructor(private readonly nextTurn: NextTurn = setImmediate) {}

  /**
   * Counts a chunk that has arrived.
   * @param answer - counters of its answer
   * @param bytes - its size
   * @returns whether the answer may be read on now; if not, it has to wait
   */
  count(answer: AnswerChunks, bytes: number): boolean {
    if (bytes >= LARGE_CHUNK_BYTES) return true;
    this.#openTurn();
    const counted = answer;
    if (answer.turn !== this.#turn) {
      counted.turn = this.#turn;
      counted.count = 0;
    }
    counted.count += 1;
    if (answer.count <= FREE_CHUNKS) return true;
    this.#left -= 1;
    return this.#left > 0;
  }

  /**
   * Waits for a later turn of the event loop.
   * @param resume - continues the answer
   */
  wait(resume: () => void): void {
    this.#waiting.push(resume);
    this.#openTurn();
  }

  #openTurn(): void {
    if (this.#isTurnOpen) return;
    this.#isTurnOpen = true;
    this.nextTurn(() => this.#endTurn());
  }

  #endTurn(): void {
    this.#isTurnOpen = false;
    this.#turn += 1;
    this.#left = SHARED_CHUNKS;
    const resumed = this.#waiting.splice(0);
    while (this.#left > 0 && resumed.length > 0) resumed.shift()?.();
    if (resumed.length === 0) return;
    // Those whose turn has not come go before those that wait again.
    this.#waiting.unshift(...resumed);
    this.#openTurn();
  }
}
