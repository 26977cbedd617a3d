/** The clock of the operating system. */
import { Clock } from './clock.js';
/** The clock of the operating system. */
export class SystemClock extends Clock {
    now() {
        return Date.now();
    }
}
//# sourceMappingURL=systemclock.js.map