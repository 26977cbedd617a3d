/** Records why a request did not find units at once, for the time line. */
import type { AdmitCommand, AdmitEvent } from '../budget/index.js';
import type { Recorder } from '../telemetry/index.js';

/** The request that is being admitted. */
export interface AdmissionSubject {
  readonly request: string;
  readonly budget: string;
  readonly units: number;
}

function describeEvent(event: AdmitEvent): string {
  switch (event.type) {
    case 'drawn':
      return `${event.left} left`;
    case 'lent':
      return `${event.units} lent, ${event.left} left`;
    case 'late':
      return 'no time left';
    default:
      return 'no answer';
  }
}

/** Records the steps of one admission that needs more than the units at hand. */
export class AdmissionTrace {
  #isShort = false;

  /**
   * Creates the notes of one request.
   * @param recorder - records events
   * @param subject - the request
   */
  constructor(
    private readonly recorder: Recorder,
    private readonly subject: AdmissionSubject,
  ) {}

  /**
   * Records one step.
   * @param command - what was done
   * @param event - what came of it
   */
  add(command: AdmitCommand, event: AdmitEvent): void {
    const { request, budget, units } = this.subject;
    if (event.type === 'short' && !this.#isShort) {
      this.#isShort = true;
      const detail = `needs ${units}, has ${units - event.missing}`;
      this.recorder.record('reservationShort', { request, budget, detail });
    }
    const detail = describeEvent(event);
    if (command.type === 'draw') this.recorder.record('storeAsked', { request, budget, detail });
    if (command.type === 'borrow') {
      this.recorder.record('peerAsked', { request, budget, peer: command.holder, detail });
    }
  }
}
