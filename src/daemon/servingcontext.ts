/** Components shared by all requests of a daemon. */
import type { Admission } from './admission.js';
import type { ConfigTask } from './configtask.js';
import type { BudgetTask } from './budgettask.js';
import type { Charges } from './charges.js';
import type { Claims } from './claims.js';
import type { Grants } from './grants.js';
import type { KeyRegistry } from './keyregistry.js';
import type { Incarnation } from '../kernel/index.js';
import type { ObjectStore } from '../store/index.js';
import type { Recorder } from '../telemetry/index.js';
import type { ModelEngine, PlainService } from '../upstream/index.js';
import type { PlanFollower } from './planfollower.js';
import type { Routing } from './routing.js';
import type { Settings } from './settings.js';

/** Tasks and clients that every request uses. */
export interface ServingContext {
  readonly self: Incarnation;
  readonly settings: Settings;
  readonly store: ObjectStore;
  readonly config: ConfigTask;
  readonly budgets: BudgetTask;
  readonly grants: Grants;
  readonly admission: Admission;
  readonly charges: Charges;
  readonly plans: PlanFollower;
  readonly claims: Claims;
  readonly keys: KeyRegistry;
  readonly routing: Routing;
  readonly engine: ModelEngine;
  readonly service: PlainService;
  readonly recorder: Recorder;
  /** Open requests by upstream. */
  readonly open: OpenRequests;
}

/** Counts the open requests of this daemon at each upstream. */
export class OpenRequests {
  readonly #counts = new Map<string, number>();

  #total = 0;

  /** Number of open requests, over all upstreams. */
  get total(): number {
    return this.#total;
  }

  /**
   * Returns the number of open requests at one upstream.
   * @param upstream - upstream name
   * @returns number of requests
   */
  at(upstream: string): number {
    return this.#counts.get(upstream) ?? 0;
  }

  /**
   * Counts a request that starts or ends.
   * @param upstream - upstream name
   * @param change - 1 when it starts, -1 when it ends
   */
  add(upstream: string, change: 1 | -1): void {
    this.#counts.set(upstream, this.at(upstream) + change);
    this.#total += change;
  }
}
