/** Wall clock. */
/** Gives the time; tests pass a clock of their own. */
export class Clock {
}
//# sourceMappingURL=clock.js.map