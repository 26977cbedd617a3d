/** Every benchmark group, in the order in which they run. */
import { ConfigBench } from './config.js';
import { DurabilityBench } from './durability.js';
import { PathBench } from './path.js';
import { RouteBench } from './route.js';

import type { BenchGroup } from './figure.js';

/** The groups. */
export const GROUPS: readonly BenchGroup[] = [
  new PathBench(),
  new RouteBench(),
  new ConfigBench(),
  new DurabilityBench(),
];
