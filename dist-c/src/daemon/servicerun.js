/** One call to a plain service: reads the whole answer before it is charged. */
import { failure } from '../kernel/index.js';
import { RequestRun } from './requestrun.js';
/** Speaks to plain services. */
export class ServiceRun extends RequestRun {
    call;
    #answer;
    /**
     * Creates the run of one call.
     * @param input - who asks for what
     * @param call - what the caller sent
     */
    constructor(input, call) {
        super(input);
        this.call = call;
    }
    /** Answer of the service; undefined before it has come. */
    get answer() {
        return this.#answer;
    }
    async send(upstream, attempt) {
        const { serving, route, key } = this.input;
        const timeoutMs = route.firstByteMs;
        const call = { ...this.call, id: attempt, key, timeoutMs };
        const answered = await serving.service.call(upstream.url, call);
        if (answered.err)
            return RequestRun.rejected(answered.val);
        this.#answer = answered.val;
        this.noteFirstByte();
        return RequestRun.accepted();
    }
    async relayAnswer() {
        if (this.#answer)
            return { type: 'answered', units: this.input.route.unitsPerCall };
        const fail = failure('outcome-unknown', this.input.route.name, 'unknown');
        return { type: 'cut', fail, relayed: false };
    }
}
//# sourceMappingURL=servicerun.js.map