/** Every benchmark group, in the order in which they run. */
import { PathBench } from './path.js';
/** The groups. */
export const GROUPS = [new PathBench()];
//# sourceMappingURL=catalogue.js.map