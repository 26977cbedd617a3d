/** Waiting requests: weighted between priority classes, in turn between workspaces. */

/** Priority classes, the most urgent first. */
export const PRIORITY_CLASSES = ['urgent', 'normal', 'bulk'] as const;

/** Priority class of a request. */
export type PriorityClass = (typeof PRIORITY_CLASSES)[number];

/** Shares of the dispatches when every class waits; a low class still moves. */
const CLASS_WEIGHTS: Readonly<Record<PriorityClass, number>> = { urgent: 16, normal: 4, bulk: 1 };

/** What the queue must know of an entry. */
export interface Queued {
  readonly id: string;
  readonly workspace: string;
  readonly priority: PriorityClass;
}

/** One priority class: a lane for each workspace, served in turn. */
interface ClassLanes<Entry> {
  readonly lanes: Map<string, Entry[]>;
  /** Virtual time at which the class is due. */
  due: number;
  size: number;
}

/** Orders waiting entries. */
export class FairQueue<Entry extends Queued> {
  readonly #classes: Readonly<Record<PriorityClass, ClassLanes<Entry>>> = {
    urgent: { lanes: new Map(), due: 0, size: 0 },
    normal: { lanes: new Map(), due: 0, size: 0 },
    bulk: { lanes: new Map(), due: 0, size: 0 },
  };

  #virtual = 0;

  /** Entries that wait. */
  get size(): number {
    return PRIORITY_CLASSES.reduce((sum, name) => sum + this.#classes[name].size, 0);
  }

  /**
   * Adds an entry.
   * @param entry - what waits
   */
  push(entry: Entry): void {
    const lanes = this.#classes[entry.priority];
    if (lanes.size === 0) lanes.due = Math.max(lanes.due, this.#virtual);
    const lane = lanes.lanes.get(entry.workspace);
    if (lane) lane.push(entry);
    else lanes.lanes.set(entry.workspace, [entry]);
    lanes.size += 1;
  }

  /**
   * Gives the entry that is next, without taking it.
   * @returns the entry; undefined if none waits
   */
  peek(): Entry | undefined {
    const name = this.#next();
    if (!name) return undefined;
    const [lane] = this.#classes[name].lanes.values();
    return lane?.[0];
  }

  /**
   * Takes an entry out that is dispatched; its class and its workspace have had their turn.
   * @param entry - the entry that "peek" gave
   */
  dispatch(entry: Entry): void {
    const lanes = this.#classes[entry.priority];
    this.#virtual = lanes.due;
    lanes.due += 1 / CLASS_WEIGHTS[entry.priority];
    this.remove(entry);
    const lane = lanes.lanes.get(entry.workspace);
    if (!lane) return;
    lanes.lanes.delete(entry.workspace);
    lanes.lanes.set(entry.workspace, lane);
  }

  /**
   * Takes an entry out that no longer waits.
   * @param entry - the entry
   * @returns whether it waited
   */
  remove(entry: Entry): boolean {
    const lanes = this.#classes[entry.priority];
    const lane = lanes.lanes.get(entry.workspace) ?? [];
    const at = lane.findIndex(({ id }) => id === entry.id);
    if (at < 0) return false;
    lane.splice(at, 1);
    lanes.size -= 1;
    if (lane.length === 0) lanes.lanes.delete(entry.workspace);
    return true;
  }

  /**
   * Estimates how many entries are dispatched before a new one.
   * @param priority - class of the new entry
   * @param workspace - its workspace
   * @returns number of entries
   */
  ahead(priority: PriorityClass, workspace: string): number {
    const own = this.#classes[priority];
    const position = (own.lanes.get(workspace)?.length ?? 0) + 1;
    let turns = 0;
    own.lanes.forEach((lane, name) => {
      if (name !== workspace) turns += Math.min(lane.length, position);
    });
    const inClass = turns + position - 1;
    const others = PRIORITY_CLASSES.filter((name) => name !== priority).map((name) => {
      const ratio = CLASS_WEIGHTS[name] / CLASS_WEIGHTS[priority];
      return Math.min(this.#classes[name].size, Math.ceil((inClass + 1) * ratio));
    });
    return others.reduce((sum, count) => sum + count, inClass);
  }

  /**
   * Lists what waits.
   * @returns the entries, in no particular order
   */
  entries(): readonly Entry[] {
    return PRIORITY_CLASSES.flatMap((name) => [...this.#classes[name].lanes.values()].flat());
  }

  #next(): PriorityClass | undefined {
    let next: PriorityClass | undefined;
    PRIORITY_CLASSES.forEach((name) => {
      const { size, due } = this.#classes[name];
      if (size > 0 && (!next || due < this.#classes[next].due)) next = name;
    });
    return next;
  }
}
