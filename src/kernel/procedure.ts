/** Pure decision procedures: generators that yield commands and receive events. */

/** Yields commands, receives one event for each, and returns an outcome. */
export type Procedure<Command, Event, Outcome> = Generator<Command, Outcome, Event>;

/** Carries out one command and reports what happened. */
export type Performer<Command, Event> = (command: Command) => Event | Promise<Event>;

/**
 * Drives a procedure to its end, performing each command that it yields.
 * @param procedure - the decisions
 * @param perform - carries out a command; must not throw
 * @returns what the procedure returns
 */
export async function drive<Command, Event, Outcome>(
  procedure: Procedure<Command, Event, Outcome>,
  perform: Performer<Command, Event>,
): Promise<Outcome> {
  let step = procedure.next();
  while (!step.done) {
    // Commands of one procedure are sequential by definition.
    // eslint-disable-next-line no-await-in-loop
    const event = await perform(step.value);
    step = procedure.next(event);
  }
  return step.value;
}
