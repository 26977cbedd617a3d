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
   * @param excess - workspaces that go after all others
   * @returns the entry; undefined if none waits
   */
  peek(excess: ReadonlySet<string> = new Set()): Entry | undefined {
    return this.#next((workspace) => !excess.has(workspace)) ?? this.#next(() => true);
  }

  /**
   * Counts the waiting entries of each workspace.
   * @returns number of entries by workspace
   */
  waiting(): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    PRIORITY_CLASSES.forEach((name) => {
      this.#classes[name].lanes.forEach((lane, workspace) => {
        counts.set(workspace, (counts.get(workspace) ?? 0) + lane.length);
      });
    });
    return counts;
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
   * @param excess - workspaces that go after all others
   * @returns number of entries
   */
  ahead(
    priority: PriorityClass,
    workspace: string,
    excess: ReadonlySet<string> = new Set(),
  ): number {
    const isLast = excess.has(workspace);
    const position = (this.#classes[priority].lanes.get(workspace)?.length ?? 0) + 1;
    const inClass = this.#turns(priority, workspace, position, excess) + position - 1;
    return PRIORITY_CLASSES.reduce((sum, name) => {
      if (name === priority) return sum;
      const ratio = CLASS_WEIGHTS[name] / CLASS_WEIGHTS[priority];
      const group = this.#group(name, excess, isLast);
      return sum + Math.min(group, Math.ceil((inClass + 1) * ratio));
    }, inClass);
  }

  /**
   * Lists what waits.
   * @returns the entries, in no particular order
   */
  entries(): readonly Entry[] {
    return PRIORITY_CLASSES.flatMap((name) => [...this.#classes[name].lanes.values()].flat());
  }

  /** Entries of other workspaces of the class that take their turns before the position. */
  #turns(
    priority: PriorityClass,
    workspace: string,
    position: number,
    excess: ReadonlySet<string>,
  ): number {
    let turns = 0;
    this.#classes[priority].lanes.forEach((lane, name) => {
      if (name === workspace) return;
      if (!excess.has(workspace) && excess.has(name)) return;
      const isBefore = excess.has(workspace) && !excess.has(name);
      turns += isBefore ? lane.length : Math.min(lane.length, position);
    });
    return turns;
  }

  /** Entries of a class, without those in excess unless they count as well. */
  #group(priority: PriorityClass, excess: ReadonlySet<string>, isLast: boolean): number {
    const { lanes, size } = this.#classes[priority];
    if (isLast || excess.size === 0) return size;
    let count = 0;
    lanes.forEach((lane, name) => {
      if (!excess.has(name)) count += lane.length;
    });
    return count;
  }

  #next(allowed: (workspace: string) => boolean): Entry | undefined {
    let next: Entry | undefined;
    let due = Number.POSITIVE_INFINITY;
    PRIORITY_CLASSES.forEach((name) => {
      const lanes = this.#classes[name];
      if (lanes.size === 0 || lanes.due >= due) return;
      const found = [...lanes.lanes].find(([workspace]) => allowed(workspace))?.[1][0];
      if (!found) return;
      next = found;
      due = lanes.due;
    });
    return next;
  }
}
