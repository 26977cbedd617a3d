/** Workload of the route benchmark; prompts of a workspace share a preamble and documents. */
import type { PriorityClass } from '../src/route/index.js';

/** Prompt blocks that all requests of a workspace share. */
const PREAMBLE_BLOCKS = 4;

/** Prompt blocks after the preamble that all requests about one document share. */
const DOCUMENT_BLOCKS = 8;

/** Prompt blocks that are unique to a request. */
const QUESTION_BLOCKS = 1;

/** Prompt tokens after the last whole block. */
const TAIL_TOKENS = 60;

/** Mean output of a request, in tokens. */
const MEAN_OUTPUT_TOKENS = 380;

/** Mean number of requests about one document. */
const REQUESTS_PER_DOCUMENT = 25;

/** Share of the workspaces that are large; they send `LARGE_TRAFFIC_SHARE` of the requests. */
const LARGE_WORKSPACE_SHARE = 0.3;
const LARGE_TRAFFIC_SHARE = 0.6;

/** Workspace that sends extra requests under the fault `noisy`. */
export const NOISY_WORKSPACE = 'w0';

/** A generated request. */
export interface Arrival {
  readonly id: number;
  readonly workspace: string;
  readonly priority: PriorityClass;
  readonly digests: readonly number[];
  readonly tailTokens: number;
  readonly outputTokens: number;
}

/** A document with the number of requests still to be made about it. */
interface OpenDocument {
  readonly number: number;
  left: number;
}

/** Generates random requests. */
export class Workload {
  #nextId = 1;

  #nextDocument = 1;

  readonly #documents = new Map<number, OpenDocument[]>();

  /**
   * Creates a workload.
   * @param workspaces - number of workspaces
   * @param perWorkspace - documents that the requests of a workspace refer to at a time
   * @param random - random numbers in [0, 1)
   */
  constructor(
    private readonly workspaces: number,
    private readonly perWorkspace: number,
    private readonly random: () => number,
  ) {}

  /**
   * Generates the next request.
   * @param isNoise - whether it belongs to the noisy workspace
   * @returns the request
   */
  next(isNoise = false): Arrival {
    const workspace = isNoise ? 0 : this.#workspace();
    const document = this.#document(workspace);
    const id = this.#nextId;
    this.#nextId += 1;
    const output = -Math.log(1 - this.random()) * MEAN_OUTPUT_TOKENS;
    return {
      id,
      workspace: `w${workspace}`,
      priority: this.#priority(),
      digests: [
        ...Array.from({ length: PREAMBLE_BLOCKS }, (_, n) => workspace * PREAMBLE_BLOCKS + n),
        ...Array.from({ length: DOCUMENT_BLOCKS }, (_, n) => 1e6 + document * DOCUMENT_BLOCKS + n),
        ...Array.from({ length: QUESTION_BLOCKS }, () => 1e9 + id),
      ],
      tailTokens: TAIL_TOKENS,
      outputTokens: Math.max(8, Math.min(1_500, Math.round(output))),
    };
  }

  #workspace(): number {
    const isLarge = this.random() < LARGE_TRAFFIC_SHARE;
    const largeOnes = Math.ceil(this.workspaces * LARGE_WORKSPACE_SHARE);
    const count = isLarge ? largeOnes : this.workspaces - largeOnes;
    const first = isLarge ? 0 : largeOnes;
    // Adding 1 gives the large workspaces the numbers from 1, so that the noisy one, 0, is small.
    return (first + Math.floor(this.random() * count) + 1) % this.workspaces;
  }

  #document(workspace: number): number {
    const open = this.#documents.get(workspace) ?? [];
    this.#documents.set(workspace, open);
    const slot = Math.floor(this.random() * this.perWorkspace);
    const known = open[slot];
    if (known && known.left > 0) {
      known.left -= 1;
      return known.number;
    }
    const number = this.#nextDocument;
    this.#nextDocument += 1;
    const left = Math.ceil(this.random() * 2 * REQUESTS_PER_DOCUMENT);
    open[slot] = { number, left };
    return number;
  }

  #priority(): PriorityClass {
    const draw = this.random();
    if (draw < 0.2) return 'urgent';
    return draw < 0.8 ? 'normal' : 'bulk';
  }
}
