/** Serves one call to a plain service; the whole answer is read before it is charged. */
import { failure } from '../kernel/index.js';
import { RequestRun } from './requestrun.js';

import type { UpstreamDocument } from '../config/index.js';
import type { Failure, Result } from '../kernel/index.js';
import type { ServeEvent } from '../request/index.js';
import type { ServiceAnswer, ServiceCall } from '../upstream/index.js';
import type { RunInput } from './requestrun.js';

/** The fields of a service call that are copied from the caller's HTTP request. */
export type ServiceRequest = Pick<ServiceCall, 'method' | 'path' | 'contentType' | 'body'>;

/** Runs a call on a plain service. */
export class ServiceRun extends RequestRun {
  #answer: ServiceAnswer | undefined;

  /**
   * Creates the run of one call.
   * @param input - tenant, route, idempotency key and shared components
   * @param call - method, path, content type and body from the caller
   */
  constructor(
    input: RunInput,
    private readonly call: ServiceRequest,
  ) {
    super(input);
  }

  /** Answer of the service; undefined until it has arrived. */
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
