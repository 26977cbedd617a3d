/** Pure decision procedures: generators that yield commands and receive events. */

/** Yields commands, receives one event for each, and returns an outcome. It performs no I/O itself. */
export type Procedure<Command, Event, Outcome> = Generator<Command, Outcome, Event>;

/** Executes one command and returns the resulting event. */
export type Performer<Command, Event> = (command: Command) => Event | Promise<Event>;

/**
 * Runs a procedure to its end and executes each command that it yields.
 * @param procedure - the procedure
 * @param perform - executes a command; must not throw
 * @returns the outcome of the procedure
 */
export async function drive<Command, Event, Outcome>(
  procedure: Procedure<Command, Event, Outcome>,
  perform: Performer<Command, Event>,
): Promise<Outcome> {
  let step = procedure.next();
  while (!step.done) {
    // Each command depends on the event of the previous one, so they run in sequence.
    // eslint-disable-next-line no-await-in-loop
    const event = await perform(step.value);
    step = procedure.next(event);
  }
  return step.value;
}
