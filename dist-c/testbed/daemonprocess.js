/** A daemon as a separate process. */
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { request } from 'undici';
import { stringify } from 'yaml';
import { Child } from './child.js';
import { freePort } from './ports.js';
import { waitFor } from './wait.js';
/** Keys that all daemons of a test share. */
export const FLEET_KEY = 'fleet-key-of-the-test-bed';
/** Key of the operators of a test. */
export const OPERATOR_KEY = 'operator-key-of-the-test-bed';
/** Owns one daemon process. */
export class DaemonProcess {
    options;
    port;
    peerPort;
    child;
    constructor(options, port, peerPort, child) {
        this.options = options;
        this.port = port;
        this.peerPort = peerPort;
        this.child = child;
    }
    /**
     * Starts a daemon.
     * @param options - name, data centre and the platform's addresses
     * @returns the daemon, at once
     */
    static async start(options) {
        const port = options.port ?? (await freePort());
        const peerPort = options.peerPort ?? (await freePort());
        const file = join(options.dir, `${options.name}.yaml`);
        await writeFile(file, stringify({
            instance: options.name,
            dataCentre: options.dataCentre,
            listen: { callers: `127.0.0.1:${port}`, peers: `127.0.0.1:${peerPort}` },
            platform: { objects: options.objects, instances: options.instances },
            fleetKey: FLEET_KEY,
            operatorKey: OPERATOR_KEY,
            logLevel: options.logLevel ?? 'info',
        }));
        const child = new Child({
            module: 'src/daemon/main.js',
            args: ['--config', file],
            logFile: join(options.dir, `${options.name}.log`),
        });
        return new DaemonProcess(options, port, peerPort, child);
    }
    /** Base address of the callers' interface. */
    get url() {
        return `http://127.0.0.1:${this.port}`;
    }
    /** The daemon as the platform lists it. */
    get listed() {
        const { name, dataCentre } = this.options;
        return { name, dataCentre, peerAddress: `127.0.0.1:${this.peerPort}`, state: 'live' };
    }
    /** Waits until the daemon answers. */
    async waitHealthy() {
        await waitFor(`${this.options.name} answers`, () => this.#answers('/healthz'));
    }
    /** Waits until the daemon takes new work. */
    async waitReady() {
        await waitFor(`${this.options.name} is ready`, () => this.#answers('/readyz'));
    }
    /**
     * Reads from the operators' interface.
     * @param path - path below "/operator/"
     * @returns the parsed body
     */
    async operator(path) {
        const res = await request(`${this.url}/operator/${path}`, {
            headers: { authorization: `Bearer ${OPERATOR_KEY}` },
        });
        return (await res.body.json());
    }
    /**
     * Sends an order to the operators' interface.
     * @param path - path below "/operator/"
     * @param body - the order
     * @returns the parsed body
     */
    async order(path, body) {
        const res = await request(`${this.url}/operator/${path}`, {
            method: 'POST',
            headers: { authorization: `Bearer ${OPERATOR_KEY}`, 'content-type': 'application/json' },
            body: JSON.stringify(body),
        });
        return (await res.body.json());
    }
    async #answers(path) {
        const res = await request(`${this.url}${path}`);
        await res.body.dump();
        return res.statusCode === 200;
    }
}
//# sourceMappingURL=daemonprocess.js.map