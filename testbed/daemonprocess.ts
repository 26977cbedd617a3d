/** Starts daemons as child processes. */
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';

import { request } from 'undici';
import { stringify } from 'yaml';

import { Child } from './child.js';
import { freePort } from './ports.js';
import { waitFor } from './wait.js';

import type { Instance } from '../src/store/index.js';

/** Shared key with which the daemons of a test authenticate to each other. */
export const FLEET_KEY = 'fleet-key-of-the-test-bed';
/** Key of the operators' interface in tests. */
export const OPERATOR_KEY = 'operator-key-of-the-test-bed';

/** Options of a daemon process. */
export interface DaemonOptions {
  readonly name: string;
  readonly dataCentre: string;
  /** Base URL of the object API for this daemon. */
  readonly objects: string;
  /** Base URL of the instance list for this daemon. */
  readonly instances: string;
  /** Directory for the settings file and the log. */
  readonly dir: string;
  readonly logLevel?: string;
  /** Port of the callers' interface; default a free port. */
  readonly port?: number;
  /** Port of the peer listener; default a free port. */
  readonly peerPort?: number;
}

/** A running daemon process. */
export class DaemonProcess {
  private constructor(
    readonly options: DaemonOptions,
    readonly port: number,
    readonly peerPort: number,
    readonly child: Child,
  ) {}

  /**
   * Writes the settings file and starts a daemon.
   * @param options - name, data centre, platform URLs and ports
   * @returns the daemon, without waiting until it listens
   */
  static async start(options: DaemonOptions): Promise<DaemonProcess> {
    const port = options.port ?? (await freePort());
    const peerPort = options.peerPort ?? (await freePort());
    const file = join(options.dir, `${options.name}.yaml`);
    await writeFile(
      file,
      stringify({
        instance: options.name,
        dataCentre: options.dataCentre,
        listen: { callers: `127.0.0.1:${port}`, peers: `127.0.0.1:${peerPort}` },
        platform: { objects: options.objects, instances: options.instances },
        fleetKey: FLEET_KEY,
        operatorKey: OPERATOR_KEY,
        logLevel: options.logLevel ?? 'info',
      }),
    );
    const child = new Child({
      module: 'src/daemon/main.js',
      args: ['--config', file],
      logFile: join(options.dir, `${options.name}.log`),
    });
    return new DaemonProcess(options, port, peerPort, child);
  }

  /** Base URL of the callers' interface. */
  get url(): string {
    return `http://127.0.0.1:${this.port}`;
  }

  /** Entry of the daemon in the platform's instance list. */
  get listed(): Instance {
    const { name, dataCentre } = this.options;
    return { name, dataCentre, peerAddress: `127.0.0.1:${this.peerPort}`, state: 'live' };
  }

  /** Waits until the health check (/healthz) succeeds. */
  async waitHealthy(): Promise<void> {
    await waitFor(`${this.options.name} answers`, () => this.#answers('/healthz'));
  }

  /** Waits until the daemon accepts new requests (/readyz). */
  async waitReady(): Promise<void> {
    await waitFor(`${this.options.name} is ready`, () => this.#answers('/readyz'));
  }

  /**
   * Sends a GET request to the operators' interface.
   * @param path - path below "/operator/"
   * @returns the parsed JSON body
   */
  async operator<Body>(path: string): Promise<Body> {
    const res = await request(`${this.url}/operator/${path}`, {
      headers: { authorization: `Bearer ${OPERATOR_KEY}` },
    });
    return (await res.body.json()) as Body;
  }

  /**
   * Sends a POST request to the operators' interface.
   * @param path - path below "/operator/"
   * @param body - body, sent as JSON
   * @returns the parsed JSON body
   */
  async order<Body>(path: string, body: unknown): Promise<Body> {
    const res = await request(`${this.url}/operator/${path}`, {
      method: 'POST',
      headers: { authorization: `Bearer ${OPERATOR_KEY}`, 'content-type': 'application/json' },
      body: JSON.stringify(body),
    });
    return (await res.body.json()) as Body;
  }

  async #answers(path: string): Promise<boolean> {
    const res = await request(`${this.url}${path}`);
    await res.body.dump();
    return res.statusCode === 200;
  }
}
