/** Keeps the heap of an idle daemon small; must be imported before any other module. */
import { setFlagsFromString } from 'node:v8';

setFlagsFromString('--optimize-for-size');
