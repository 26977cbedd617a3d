/** Pure decision procedures: generators that yield commands and receive events. */
/**
 * Drives a procedure to its end, performing each command that it yields.
 * @param procedure - the decisions
 * @param perform - carries out a command; must not throw
 * @returns what the procedure returns
 */
export async function drive(procedure, perform) {
    let step = procedure.next();
    while (!step.done) {
        // Commands of one procedure are sequential by definition.
        // eslint-disable-next-line no-await-in-loop
        const event = await perform(step.value);
        step = procedure.next(event);
    }
    return step.value;
}
//# sourceMappingURL=procedure.js.map