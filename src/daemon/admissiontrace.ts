/** Records in the timeline how a request that lacked units tried to obtain them. */
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

/**
 * Records the steps of one admission: the first shortage of units, and each request to the store or
 * to a peer.
 */
export class AdmissionTrace {
  #isShort = false;

  /**
   * Creates the trace of one request.
   * @param recorder - records events
   * @param subject - the request
   */
  constructor(
    private readonly recorder: Recorder,
    private readonly subject: AdmissionSubject,
  ) {}

  /**
   * Records one step.
   * @param command - the command that was executed
   * @param event - result of the command
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
