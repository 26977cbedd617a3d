/** Weighted fair queue: weights between priority classes, round robin between workspaces. */

/** Priority classes, the most urgent first. */
export const PRIORITY_CLASSES = ['urgent', 'normal', 'bulk'] as const;

/** Priority class of a request. */
export type PriorityClass = (typeof PRIORITY_CLASSES)[number];

/** Relative shares of the dispatches while every class has waiting entries; no class starves. */
const CLASS_WEIGHTS: Readonly<Record<PriorityClass, number>> = { urgent: 16, normal: 4, bulk: 1 };

/** Fields of an entry that the queue needs. */
export interface QueueEntry {
  readonly id: string;
  readonly workspace: string;
  readonly priority: PriorityClass;
}

/** Queue of one priority class: one queue per workspace, served round robin. */
interface ClassQueue<Entry> {
  readonly workspaceQueues: Map<string, Entry[]>;
  /** Virtual time of the next dispatch from this class, in dispatches divided by the class weight. */
  due: number;
  size: number;
}

/** Orders waiting entries by priority class and workspace. */
export class FairQueue<Entry extends QueueEntry> {
  readonly #classes: Readonly<Record<PriorityClass, ClassQueue<Entry>>> = {
    urgent: { workspaceQueues: new Map(), due: 0, size: 0 },
    normal: { workspaceQueues: new Map(), due: 0, size: 0 },
    bulk: { workspaceQueues: new Map(), due: 0, size: 0 },
  };

  #virtualTime = 0;

  /** Number of waiting entries. */
  get size(): number {
    return PRIORITY_CLASSES.reduce((sum, name) => sum + this.#classes[name].size, 0);
  }

  /**
   * Adds an entry.
   * @param entry - the entry
   */
  push(entry: Entry): void {
    const classQueue = this.#classes[entry.priority];
    if (classQueue.size === 0) classQueue.due = Math.max(classQueue.due, this.#virtualTime);
    const queue = classQueue.workspaceQueues.get(entry.workspace);
    if (queue) queue.push(entry);
    else classQueue.workspaceQueues.set(entry.workspace, [entry]);
    classQueue.size += 1;
  }

  /**
   * Returns the next entry without removing it.
   * @param overShare - workspaces whose entries come after all others
   * @returns the entry; undefined if the queue is empty
   */
  peek(overShare: ReadonlySet<string> = new Set()): Entry | undefined {
    return this.#next((workspace) => !overShare.has(workspace)) ?? this.#next(() => true);
  }

  /**
   * Counts the waiting entries of each workspace.
   * @returns number of entries by workspace
   */
  waiting(): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    PRIORITY_CLASSES.forEach((name) => {
      this.#classes[name].workspaceQueues.forEach((queue, workspace) => {
        counts.set(workspace, (counts.get(workspace) ?? 0) + queue.length);
      });
    });
    return counts;
  }

  /**
   * Removes an entry that is dispatched, and moves its class and its workspace back in the order.
   * @param entry - the entry that `peek` returned
   */
  dispatch(entry: Entry): void {
    const classQueue = this.#classes[entry.priority];
    this.#virtualTime = classQueue.due;
    classQueue.due += 1 / CLASS_WEIGHTS[entry.priority];
    this.remove(entry);
    const queue = classQueue.workspaceQueues.get(entry.workspace);
    if (!queue) return;
    classQueue.workspaceQueues.delete(entry.workspace);
    classQueue.workspaceQueues.set(entry.workspace, queue);
  }

  /**
   * Removes an entry without dispatching it.
   * @param entry - the entry
   * @returns whether the entry was in the queue
   */
  remove(entry: Entry): boolean {
    const classQueue = this.#classes[entry.priority];
    const queue = classQueue.workspaceQueues.get(entry.workspace) ?? [];
    const index = queue.findIndex(({ id }) => id === entry.id);
    if (index < 0) return false;
    queue.splice(index, 1);
    classQueue.size -= 1;
    if (queue.length === 0) classQueue.workspaceQueues.delete(entry.workspace);
    return true;
  }

  /**
   * Estimates how many entries are dispatched before a newly added one.
   * @param priority - priority class of the new entry
   * @param workspace - workspace of the new entry
   * @param overShare - workspaces whose entries come after all others
   * @returns number of entries
   */
  entriesAhead(
    priority: PriorityClass,
    workspace: string,
    overShare: ReadonlySet<string> = new Set(),
  ): number {
    const isOverShare = overShare.has(workspace);
    const position = (this.#classes[priority].workspaceQueues.get(workspace)?.length ?? 0) + 1;
    const inClass = this.#entriesBefore(priority, workspace, position, overShare) + position - 1;
    return PRIORITY_CLASSES.reduce((sum, name) => {
      if (name === priority) return sum;
      const ratio = CLASS_WEIGHTS[name] / CLASS_WEIGHTS[priority];
      const eligible = this.#eligibleEntries(name, overShare, isOverShare);
      return sum + Math.min(eligible, Math.ceil((inClass + 1) * ratio));
    }, inClass);
  }

  /**
   * Lists the waiting entries.
   * @returns the entries, in no particular order
   */
  entries(): readonly Entry[] {
    return PRIORITY_CLASSES.flatMap((name) =>
      [...this.#classes[name].workspaceQueues.values()].flat(),
    );
  }

  /** Counts entries of other workspaces in the class that precede the given position of a workspace. */
  #entriesBefore(
    priority: PriorityClass,
    workspace: string,
    position: number,
    overShare: ReadonlySet<string>,
  ): number {
    let count = 0;
    this.#classes[priority].workspaceQueues.forEach((queue, name) => {
      if (name === workspace) return;
      if (!overShare.has(workspace) && overShare.has(name)) return;
      const isBefore = overShare.has(workspace) && !overShare.has(name);
      count += isBefore ? queue.length : Math.min(queue.length, position);
    });
    return count;
  }

  /** Counts the entries of a class; without those of workspaces over their share, unless requested. */
  #eligibleEntries(
    priority: PriorityClass,
    overShare: ReadonlySet<string>,
    isOverShare: boolean,
  ): number {
    const { workspaceQueues: queues, size } = this.#classes[priority];
    if (isOverShare || overShare.size === 0) return size;
    let count = 0;
    queues.forEach((queue, name) => {
      if (!overShare.has(name)) count += queue.length;
    });
    return count;
  }

  #next(allowed: (workspace: string) => boolean): Entry | undefined {
    let next: Entry | undefined;
    let due = Number.POSITIVE_INFINITY;
    PRIORITY_CLASSES.forEach((name) => {
      const classQueue = this.#classes[name];
      if (classQueue.size === 0 || classQueue.due >= due) return;
      const found = [...classQueue.workspaceQueues].find(([workspace]) =>
        allowed(workspace),
      )?.[1][0];
      if (!found) return;
      next = found;
      due = classQueue.due;
    });
    return next;
  }
}
