/**
 * Chooses the holders of each workspace: the daemons that keep its units available and lend them to
 * the others.
 */
import { chooseHolders } from '../allowance/index.js';
import { instanceOf, rendezvous } from '../kernel/index.js';

import type { HolderCandidate, HolderChoice } from '../allowance/index.js';
import type { Clock, Incarnation } from '../kernel/index.js';

/** Time for which a choice of holders is cached, in milliseconds: the set of daemons changes less often. */
const CHOICE_TTL_MS = 1_000;

interface CachedChoice {
  readonly choice: HolderChoice;
  readonly expiresAt: number;
}

/** Inputs of the choice of holders. */
export interface HoldersConfig {
  readonly self: Incarnation;
  readonly dataCentre: string;
  /** Registered daemons; this one need not be among them. */
  readonly daemons: () => readonly HolderCandidate[];
  readonly clock: Clock;
  /** Number of daemons in a data centre up to which all of them are holders. */
  readonly allUpTo: number;
}

/** Chooses the holders of each workspace and caches the choice. */
export class Holders {
  readonly #cachedChoices = new Map<string, CachedChoice>();

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
    const own = instanceOf(this.cfg.self);
    return this.cfg.daemons().filter(({ name }) => name !== own).length + 1;
  }

  /** Returns the number of holders of a workspace, at least 1. */
  count(workspace: string): number {
    const { local, remote } = this.#choice(workspace);
    return Math.max(1, local.length + remote.length);
  }

  #choice(workspace: string): HolderChoice {
    const now = this.cfg.clock.now();
    const found = this.#cachedChoices.get(workspace);
    if (found && found.expiresAt > now) return found.choice;
    const { self, dataCentre, daemons, allUpTo } = this.cfg;
    const own = instanceOf(self);
    const others = daemons().filter(({ name }) => name !== own);
    const fleet = [...others, { name: own, dataCentre }];
    const choice = chooseHolders(workspace, fleet, dataCentre, allUpTo);
    this.#cachedChoices.set(workspace, { choice, expiresAt: now + CHOICE_TTL_MS });
    return choice;
  }
}
