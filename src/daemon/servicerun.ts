/** One call to a plain service: reads the whole answer before it is charged. */
import { failure } from '../kernel/index.js';
import { RequestRun } from './requestrun.js';

import type { UpstreamDocument } from '../config/index.js';
import type { Failure, Result } from '../kernel/index.js';
import type { ServeEvent } from '../request/index.js';
import type { ServiceAnswer, ServiceCall } from '../upstream/index.js';
import type { RunInput } from './requestrun.js';

/** The part of a service call that comes from the caller. */
export type ServiceRequest = Pick<ServiceCall, 'method' | 'path' | 'contentType' | 'body'>;

/** Speaks to plain services. */
export class ServiceRun extends RequestRun {
  #answer: ServiceAnswer | undefined;

  /**
   * Creates the run of one call.
   * @param input - who asks for what
   * @param call - what the caller sent
   */
  constructor(
    input: RunInput,
    private readonly call: ServiceRequest,
  ) {
    super(input);
  }

  /** Answer of the service; undefined before it has come. */
  get answer(): ServiceAnswer | undefined {
    return this.#answer;
  }

  protected override async send(
    upstream: UpstreamDocument,
    attempt: string,
  ): Promise<Result<void, Failure>> {
    const { serving, route, key } = this.input;
    const timeoutMs = route.firstByteMs;
    const call: ServiceCall = { ...this.call, id: attempt, key, timeoutMs };
    const answered = await serving.service.call(upstream.url, call);
    if (answered.err) return RequestRun.rejected(answered.val);
    this.#answer = answered.val;
    this.noteFirstByte();
    return RequestRun.accepted();
  }

  protected override async relayAnswer(): Promise<ServeEvent> {
    if (this.#answer) return { type: 'answered', units: this.input.route.unitsPerCall };
    const fail = failure('outcome-unknown', this.input.route.name, 'unknown');
    return { type: 'cut', fail, relayed: false };
  }
}
