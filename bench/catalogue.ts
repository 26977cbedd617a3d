/** Registry of all benchmark groups. */
import { BudgetBench } from './budget.js';
import { ConfigBench } from './config.js';
import { DurabilityBench } from './durability.js';
import { PathBench } from './path.js';
import { RouteBench } from './route.js';
import { SlopesBench } from './slopes.js';
import { StartBench } from './start.js';

import type { BenchGroup } from './figure.js';

/** All groups, in the order in which they run. */
export const GROUPS: readonly BenchGroup[] = [
  new PathBench(),
  new BudgetBench(),
  new RouteBench(),
  new SlopesBench(),
  new ConfigBench(),
  new DurabilityBench(),
  new StartBench(),
];
