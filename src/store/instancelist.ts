/** The platform's list of instances, which lags. */
import type { InstanceName, Result } from '../kernel/index.js';

/** One instance of the fleet. */
export interface Instance {
  readonly name: InstanceName;
  readonly dataCentre: string;
  /** Address of the peer listener, "IP:port". */
  readonly peerAddress: string;
  readonly state: 'live' | 'leaving';
}

/** Lists live and leaving instances. */
export abstract class InstanceList {
  /**
   * Fetches the list.
   * @returns the instances as the platform knows them, or a text that says why not
   */
  abstract fetch(): Promise<Result<readonly Instance[], string>>;
}
