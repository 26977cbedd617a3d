/**
 * Chooses the holders of each workspace: the daemons that keep its units available and lend them to
 * the others.
 */
import { chooseHolders, groupHolders } from '../allowance/index.js';
import { instanceOf, rendezvous } from '../kernel/index.js';

import type { HolderCandidate, HolderChoice, HolderGroups } from '../allowance/index.js';
import type { Clock, Incarnation } from '../kernel/index.js';

/** Time for which the choice of holders is kept, in milliseconds: the set of daemons changes less often. */
const CHOICE_TTL_MS = 1_000;

/** Choices for one state of the fleet. */
interface CachedChoices {
  readonly fleetSize: number;
  readonly groups: HolderGroups;
  readonly byWorkspace: Map<string, HolderChoice>;
  readonly expiresAt: number;
}

/** Inputs of the choice of holders. */
export interface HoldersConfig {
  readonly self: Incarnation;
  readonly dataCentre: string;
  /** Processor capacity of this instance, in cores. */
  readonly cores: number;
  /** Registered daemons; this one need not be among them. */
  readonly daemons: () => readonly HolderCandidate[];
  readonly clock: Clock;
  /** Number of daemons in a data centre up to which all of them are holders. */
  readonly allUpTo: number;
}

/** Chooses the holders of each workspace and caches the choice. */
export class Holders {
  #cached: CachedChoices | undefined;

  /**
   * Creates an empty cache.
   * @param cfg - this daemon, its data centre and the registered daemons
   */
  constructor(private readonly cfg: HoldersConfig) {}

  /**
   * Checks whether a daemon is a holder of a workspace.
   * @param workspace - the workspace
   * @param daemon - incarnation of the daemon; default this one
   * @returns whether it keeps units available that other daemons borrow
   */
  isHolder(workspace: string, daemon: Incarnation = this.cfg.self): boolean {
    const { local, remote } = this.#choice(workspace);
    const name = instanceOf(daemon);
    return local.includes(name) || remote.includes(name);
  }

  /**
   * Lists the other holders of a workspace.
   * @param workspace - the workspace
   * @returns names; holders in the data centre of this daemon come first, and within each group the order
   * differs between daemons
   */
  others(workspace: string): readonly string[] {
    const { local, remote } = this.#choice(workspace);
    const own = instanceOf(this.cfg.self);
    return [...rendezvous(own, local), ...rendezvous(own, remote)].filter((name) => name !== own);
  }

  /** Number of registered daemons, this one included. */
  get fleetSize(): number {
    return this.#choices().fleetSize;
  }

  /** Returns the number of holders of a workspace, at least 1. */
  count(workspace: string): number {
    const { local, remote } = this.#choice(workspace);
    return Math.max(1, local.length + remote.length);
  }

  #choice(workspace: string): HolderChoice {
    const { groups, byWorkspace } = this.#choices();
    const found = byWorkspace.get(workspace);
    if (found) return found;
    const choice = chooseHolders(workspace, groups, this.cfg.dataCentre);
    byWorkspace.set(workspace, choice);
    return choice;
  }

  #choices(): CachedChoices {
    const now = this.cfg.clock.now();
    if (this.#cached && this.#cached.expiresAt > now) return this.#cached;
    const { self, dataCentre, cores, daemons, allUpTo } = this.cfg;
    const own = instanceOf(self);
    const others = daemons().filter(({ name }) => name !== own);
    const fleet = [...others, { name: own, dataCentre, cores }];
    this.#cached = {
      fleetSize: fleet.length,
      groups: groupHolders(fleet, allUpTo),
      byWorkspace: new Map(),
      expiresAt: now + CHOICE_TTL_MS,
    };
    return this.#cached;
  }
}
