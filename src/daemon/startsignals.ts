/** Keeps signals without a use from ending a process that starts; must be imported before the modules of the program. */
import { ignoreSignalsDuringStart } from './signals.js';

ignoreSignalsDuringStart();
