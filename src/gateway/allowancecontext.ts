/** Dependencies of the classes that manage prepaid units. */
import type { AllowancePolicy } from '../allowance/index.js';
import type { Clock, Incarnation } from '../kernel/index.js';
import type { PeerNetwork } from '../link/index.js';
import type { SnapshotStore } from '../store/index.js';
import type { Recorder } from '../telemetry/index.js';
import type { Holders } from './holders.js';
import type { GatewayMetrics } from './metrics.js';

/** Store, links to peers, and current configuration. */
export interface AllowanceContext {
  readonly self: Incarnation;
  readonly store: SnapshotStore;
  readonly network: PeerNetwork;
  readonly recorder: Recorder;
  readonly metrics?: GatewayMetrics;
  readonly clock: Clock;
  /** Determines how many units of a workspace this daemon keeps available. */
  readonly policy: (workspace: string) => AllowancePolicy;
  readonly holders: Holders;
  /** Number of shard objects; the same at every daemon. */
  readonly shards: number;
  /** Units that a workspace has paid for; undefined for one without a limit. */
  readonly paidOf: (workspace: string) => number | undefined;
  readonly workspaces: () => readonly string[];
  /**
   * Time for which borrowing waits for the reply of one peer before it asks the next one, in milliseconds; default
   * 60.
   */
  readonly peerWaitMs?: number;
  /** Whether the store answered recently. */
  readonly isStoreUp: () => boolean;
  /** Whether a graceful stop has begun. */
  readonly isStopping: () => boolean;
}
