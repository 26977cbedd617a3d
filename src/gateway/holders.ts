/** Holders of each workspace, as the fleet stands now. */
import { chooseHolders } from '../allowance/index.js';
import { instanceOf, rendezvous } from '../kernel/index.js';

import type { HolderCandidate, HolderChoice } from '../allowance/index.js';
import type { Clock, Incarnation } from '../kernel/index.js';

/** Time for which a choice is kept, in milliseconds: daemons come and go more slowly. */
const CHOICE_TTL_MS = 1_000;

interface CachedChoice {
  readonly choice: HolderChoice;
  readonly expiresAt: number;
}

/** What the choice depends on. */
export interface HoldersConfig {
  readonly self: Incarnation;
  readonly dataCentre: string;
  /** The fleet as it is registered; this daemon may be missing. */
  readonly daemons: () => readonly HolderCandidate[];
  readonly clock: Clock;
  /** Most daemons of a data centre in which all of them are holders. */
  readonly allUpTo: number;
}

/** Knows who keeps units of a workspace ready. */
export class Holders {
  readonly #cachedChoices = new Map<string, CachedChoice>();

  /**
   * Creates the view.
   * @param cfg - own place in the fleet
   */
  constructor(private readonly cfg: HoldersConfig) {}

  /**
   * Says whether a daemon keeps units of a workspace ready.
   * @param workspace - the workspace
   * @param daemon - its incarnation; default this daemon
   * @returns whether the others borrow from it
   */
  isHolder(workspace: string, daemon: Incarnation = this.cfg.self): boolean {
    const { local, remote } = this.#choice(workspace);
    const name = instanceOf(daemon);
    return local.includes(name) || remote.includes(name);
  }

  /**
   * Lists the other holders of a workspace.
   * @param workspace - the workspace
   * @returns those of the own data centre first, in an order of this daemon's own
   */
  others(workspace: string): readonly string[] {
    const { local, remote } = this.#choice(workspace);
    const own = instanceOf(this.cfg.self);
    return [...rendezvous(own, local), ...rendezvous(own, remote)].filter((name) => name !== own);
  }

  /** Number of daemons, this one included. */
  get fleetSize(): number {
    const own = instanceOf(this.cfg.self);
    return this.cfg.daemons().filter(({ name }) => name !== own).length + 1;
  }

  /** Number of holders of a workspace. */
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
