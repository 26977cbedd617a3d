/** The platform's list of instances, which is eventually consistent. */
import type { InstanceName, Result } from '../kernel/index.js';

/** One instance of the fleet. */
export interface Instance {
  readonly name: InstanceName;
  readonly dataCentre: string;
  /** Address of the peer listener, "IP:port". */
  readonly peerAddress: string;
  readonly state: 'live' | 'leaving';
}

/** Source of the list of live and leaving instances. */
export abstract class InstanceList {
  /**
   * Fetches the list.
   * @returns the instances that the platform lists, or an error message
   */
  abstract fetch(): Promise<Result<readonly Instance[], string>>;
}
