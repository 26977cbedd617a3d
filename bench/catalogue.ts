/** Every benchmark group, in the order in which they run. */
import { BudgetBench } from './budget.js';
import { PathBench } from './path.js';

import type { BenchGroup } from './figure.js';

/** The groups. */
export const GROUPS: readonly BenchGroup[] = [new PathBench(), new BudgetBench()];
