/** Instances of the fleet that links may connect. */
import type { Instance } from '../store/index.js';

/** Knows the instances of the fleet. */
export abstract class InstanceDirectory {
  /**
   * Lists what is known now.
   * @returns the instances
   */
  abstract instances(): readonly Instance[];

  /**
   * Says whether an instance that proved the key of the fleet may link to this one.
   * @param name - instance name
   * @returns whether it belongs to the fleet
   */
  abstract isMember(name: string): Promise<boolean>;
}
