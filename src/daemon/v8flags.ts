/** Keeps the heap of an idle daemon small; imported before any other module. */
import { setFlagsFromString } from 'node:v8';

setFlagsFromString('--optimize-for-size');
