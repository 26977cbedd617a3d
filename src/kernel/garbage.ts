/** Collects garbage when V8 does not see the need: memory outside its heap weighs little in its decisions. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

/** Which garbage is collected: what was created last, or all of it. */
export type GarbageKind = 'minor' | 'major';

type Collect = (options?: { readonly type: 'minor'; readonly execution: 'sync' }) => void;

/**
 * Returns the collector of this process.
 * @returns function that collects garbage
 */
export function garbageCollector(): (kind: GarbageKind) => void {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as Collect;
  return (kind) => {
    // With any options, V8 of Node.js 20 runs a minor collection.
    if (kind === 'major') collect();
    else collect({ type: 'minor', execution: 'sync' });
  };
}
