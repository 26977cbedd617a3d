/** Directory of the instances that peer links may connect. */
import type { Instance } from '../store/index.js';

/** Lists the instances of the fleet and checks membership. */
export abstract class InstanceDirectory {
  /**
   * Lists the instances without a request to the platform.
   * @returns the instances that are currently known
   */
  abstract instances(): readonly Instance[];

  /**
   * Checks whether an instance that has proved knowledge of the fleet key may connect to this one.
   * @param name - instance name
   * @returns whether it belongs to the fleet
   */
  abstract isMember(name: string): Promise<boolean>;
}
