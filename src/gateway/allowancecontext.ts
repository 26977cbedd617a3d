/** What the tasks around prepaid units need. */
import type { AllowancePolicy } from '../allowance/index.js';
import type { Clock, Incarnation } from '../kernel/index.js';
import type { PeerNetwork } from '../link/index.js';
import type { SnapshotStore } from '../store/index.js';
import type { Recorder } from '../telemetry/index.js';
import type { Holders } from './holders.js';

/** Store, peers and what is in force. */
export interface AllowanceContext {
  readonly self: Incarnation;
  readonly store: SnapshotStore;
  readonly network: PeerNetwork;
  readonly recorder: Recorder;
  readonly clock: Clock;
  /** How much this daemon keeps ready of a workspace. */
  readonly policy: (workspace: string) => AllowancePolicy;
  readonly holders: Holders;
  /** Number of shard objects; the same at every daemon. */
  readonly shards: number;
  /** Units that a workspace has paid for; undefined for one without a limit. */
  readonly paidOf: (workspace: string) => number | undefined;
  readonly workspaces: () => readonly string[];
  /** Whether the store answered lately. */
  readonly isStoreUp: () => boolean;
}
