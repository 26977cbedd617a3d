/** A daemon as a separate process. */
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';

import { request } from 'undici';
import { stringify } from 'yaml';

import { Child } from './child.js';
import { freePort } from './ports.js';
import { waitFor } from './wait.js';

import type { Instance } from '../src/store/index.js';

/** Keys that all daemons of a test share. */
export const FLEET_KEY = 'fleet-key-of-the-test-bed';
/** Key of the operators of a test. */
export const OPERATOR_KEY = 'operator-key-of-the-test-bed';

/** What a daemon process is started with. */
export interface DaemonOptions {
  readonly name: string;
  readonly dataCentre: string;
  /** Base address of the object API as this daemon sees it. */
  readonly objects: string;
  readonly instances: string;
  /** Directory for its settings and log. */
  readonly dir: string;
  readonly logLevel?: string;
  /** Port of the callers' interface; a free one if absent. */
  readonly port?: number;
  /** Port of the peer listener; a free one if absent. */
  readonly peerPort?: number;
}

/** Owns one daemon process. */
export class DaemonProcess {
  private constructor(
    readonly options: DaemonOptions,
    readonly port: number,
    readonly peerPort: number,
    readonly child: Child,
  ) {}

  /**
   * Starts a daemon.
   * @param options - name, data centre and the platform's addresses
   * @returns the daemon, at once
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

  /** Base address of the callers' interface. */
  get url(): string {
    return `http://127.0.0.1:${this.port}`;
  }

  /** The daemon as the platform lists it. */
  get listed(): Instance {
    const { name, dataCentre } = this.options;
    return { name, dataCentre, peerAddress: `127.0.0.1:${this.peerPort}`, state: 'live' };
  }

  /** Waits until the daemon answers. */
  async waitHealthy(): Promise<void> {
    await waitFor(`${this.options.name} answers`, () => this.#answers('/healthz'));
  }

  /** Waits until the daemon takes new work. */
  async waitReady(): Promise<void> {
    await waitFor(`${this.options.name} is ready`, () => this.#answers('/readyz'));
  }

  /**
   * Reads from the operators' interface.
   * @param path - path below "/operator/"
   * @returns the parsed body
   */
  async operator<Body>(path: string): Promise<Body> {
    const res = await request(`${this.url}/operator/${path}`, {
      headers: { authorization: `Bearer ${OPERATOR_KEY}` },
    });
    return (await res.body.json()) as Body;
  }

  /**
   * Sends an order to the operators' interface.
   * @param path - path below "/operator/"
   * @param body - the order
   * @returns the parsed body
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
