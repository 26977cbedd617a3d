/** Client of the operators' interface of a daemon. */
import { request } from 'undici';
import { Err, Ok } from '../kernel/index.js';
/** Longest wait for an answer, in milliseconds. */
const TIMEOUT_MS = 15_000;
/** Attempts of an order whose answer is lost; orders carry an operation id. */
const ORDER_ATTEMPTS = 3;
const FIRST_FAILURE_STATUS = 300;
/** Sends operators' calls to one daemon. */
export class OperatorClient {
    cfg;
    /**
     * Creates a client.
     * @param cfg - address and key
     */
    constructor(cfg) {
        this.cfg = cfg;
    }
    /**
     * Reads from the daemon.
     * @param path - path below "/operator/"
     * @returns parsed body
     */
    get(path) {
        return this.#call('GET', path, null);
    }
    /**
     * Sends an order to the daemon, again when its answer is lost: the order must be
     * idempotent, which its operation id makes it.
     * @param path - path below "/operator/"
     * @param order - the order
     * @returns parsed body
     */
    async post(path, order) {
        const body = JSON.stringify(order);
        let answer = await this.#call('POST', path, body);
        for (let attempt = 1; attempt < ORDER_ATTEMPTS; attempt += 1) {
            if (answer.ok || answer.val.kind === 'refused')
                return answer;
            // Attempts follow one another, each only after the last one failed.
            // eslint-disable-next-line no-await-in-loop
            answer = await this.#call('POST', path, body);
        }
        return answer;
    }
    async #call(method, path, body) {
        try {
            const res = await request(`${this.cfg.url}/operator/${path}`, {
                method,
                headers: { authorization: `Bearer ${this.cfg.key}`, 'content-type': 'application/json' },
                body,
                headersTimeout: TIMEOUT_MS,
                bodyTimeout: TIMEOUT_MS,
            });
            const parsed = await res.body.json();
            if (res.statusCode < FIRST_FAILURE_STATUS)
                return Ok(parsed);
            return Err({ kind: 'refused', body: parsed });
        }
        catch (err) {
            return Err({ kind: 'no-answer', text: String(err) });
        }
    }
}
//# sourceMappingURL=client.js.map