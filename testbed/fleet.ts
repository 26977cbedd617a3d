/** Test fleet: platform and upstream stand-ins in this process, daemons as child processes. */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import {
  FakeInstanceList,
  FakeModelEngine,
  FakeObjectStore,
  FakePlainService,
} from '../fakes/index.js';
import { DaemonProcess } from './daemonprocess.js';
import { testDocuments } from './documents.js';
import { Partition } from './partition.js';
import { freePort } from './ports.js';
import { waitFor } from './wait.js';

import type { Documents } from '../src/config/index.js';
import type { BudgetView } from '../src/daemon/budgetview.js';
import type { DaemonOptions } from './daemonprocess.js';
import type { FleetUrls } from './documents.js';
import type { RelayMode } from './relay.js';

const HOST = '127.0.0.1';

/** Options of a test fleet. */
export interface FleetOptions {
  readonly daemons: number;
  /** Data centres, to which the daemons are assigned in turn; default "dc-1" to "dc-3". */
  readonly dataCentres?: readonly string[];
  /** Number of model engines; default 2. */
  readonly engines?: number;
  /** Time to the first token of an engine, in milliseconds; default 20. */
  readonly firstTokenMs?: number;
  /** Time between tokens of an engine, in milliseconds; default 5. */
  readonly tokenMs?: number;
  /** Units to pay into the budget "main"; 0 for no payment. */
  readonly units: number;
  /** Random numbers in [0, 1) for the faults of the object store. */
  readonly random?: () => number;
  readonly logLevel?: string;
  /**
   * Returns the base URL of the object API for a daemon, from the instance name and the URL of the stand-in;
   * default the URL of the stand-in.
   */
  readonly objectsUrlFor?: (daemon: string, objects: string) => string;
  /** Daemons on the side that a partition isolates from the store; absent for no partition. */
  readonly partitionedDaemons?: readonly string[];
}

/** Owns the stand-ins, daemons and temporary files of one test. */
export class Fleet {
  readonly daemons: DaemonProcess[] = [];

  private constructor(
    readonly dir: string,
    readonly store: FakeObjectStore,
    readonly list: FakeInstanceList,
    readonly engines: readonly FakeModelEngine[],
    readonly service: FakePlainService,
    readonly urls: FleetUrls,
    private readonly options: FleetOptions,
    private readonly cut: Partition | undefined,
  ) {}

  /**
   * Starts a fleet, publishes its configuration and pays its budget.
   * @param options - size, timing and faults
   * @returns the fleet, once every daemon is ready and applies the configuration
   */
  static async start(options: FleetOptions): Promise<Fleet> {
    const dir = await mkdtemp(join(tmpdir(), 'comfreyreel-test-'));
    const ports = { objects: await freePort(), instances: await freePort() };
    const { random } = options;
    const storeOptions = { host: HOST, port: ports.objects, writesPerSecond: 400 };
    const store = await FakeObjectStore.start({
      ...storeOptions,
      readsPerSecond: 2_000,
      ...(random ? { random } : {}),
    });
    const list = await FakeInstanceList.start({ host: HOST, port: ports.instances, lagMs: 300 });
    const enginePorts = await Promise.all(
      Array.from({ length: options.engines ?? 2 }, () => freePort()),
    );
    const { firstTokenMs = 20, tokenMs = 5 } = options;
    const engines = await Promise.all(
      enginePorts.map((port) => FakeModelEngine.start({ host: HOST, port, firstTokenMs, tokenMs })),
    );
    const servicePort = await freePort();
    const service = await FakePlainService.start({ host: HOST, port: servicePort });
    const urls: FleetUrls = {
      objects: `http://${HOST}:${ports.objects}`,
      instances: `http://${HOST}:${ports.instances}`,
      engines: enginePorts.map((port) => `http://${HOST}:${port}`),
      service: `http://${HOST}:${servicePort}`,
    };
    const { partitionedDaemons: cutOff } = options;
    const cut = cutOff ? await Partition.start(cutOff, ports.objects) : undefined;
    const fleet = new Fleet(dir, store, list, engines, service, urls, options, cut);
    await fleet.#startDaemons();
    return fleet;
  }

  /**
   * Returns a daemon by its position.
   * @param index - position in the start order, from 0
   * @returns the daemon
   * @throws Error if there is no daemon at this position
   */
  daemon(index: number): DaemonProcess {
    const found = this.daemons[index];
    if (!found) throw new Error(`the fleet has no daemon ${index}`);
    return found;
  }

  /**
   * Starts a daemon and adds it to the instance list.
   * @param name - instance name
   * @param dataCentre - data centre
   * @param ports - ports that it listens on; free ones by default
   * @returns the daemon, without waiting until it is ready
   */
  async addDaemon(
    name: string,
    dataCentre: string,
    ports: Pick<DaemonOptions, 'port' | 'peerPort'> = {},
  ): Promise<DaemonProcess> {
    const { objects, instances } = this.urls;
    const objectsFor = this.options.objectsUrlFor ?? ((_: string, url: string): string => url);
    const { cut } = this;
    const daemon = await DaemonProcess.start({
      name,
      dataCentre,
      objects: cut?.objectsUrlFor(name, objects) ?? objectsFor(name, objects),
      instances: cut?.instancesUrlFor(name, instances) ?? instances,
      dir: this.dir,
      logLevel: this.options.logLevel ?? 'info',
      ...ports,
    });
    this.daemons.push(daemon);
    await this.refreshInstanceList();
    return daemon;
  }

  /** Sets the instance list to the daemons that run. */
  async refreshInstanceList(): Promise<void> {
    const listed = this.daemons.filter(({ child }) => child.running).map((daemon) => daemon.listed);
    this.list.set(this.cut ? await this.cut.updateInstances(listed) : listed);
  }

  /**
   * Sets the mode of all connections between the sides of the partition.
   * @param mode - "cut" closes open connections and resets new ones, "silent" drops the bytes of open and new
   * ones for good, "pass" forwards new connections; silenced ones never forward bytes again
   */
  setPartition(mode: RelayMode): void {
    this.cut?.setMode(mode);
  }

  /**
   * Stops a daemon gracefully and starts a new one with the same name and ports.
   * @param index - position of the daemon
   * @returns exit code of the old daemon, once the new one is ready; null if a signal ended it
   */
  async restart(index: number): Promise<number | null> {
    const old = this.daemon(index);
    old.child.signal('SIGTERM');
    const code = await old.child.ended();
    const { port, peerPort } = old;
    const next = await DaemonProcess.start({ ...old.options, port, peerPort });
    this.daemons[index] = next;
    await next.waitReady();
    return code;
  }

  /**
   * Publishes documents through the first daemon.
   * @param documents - documents of the next revision
   */
  async publish(documents: Documents): Promise<void> {
    const daemon = this.daemon(0);
    const { revision } = await daemon.operator<{ readonly revision: number }>('status');
    const operation = `publish-${revision + 1}`;
    await daemon.order('publish', { operation, author: 'test', base: revision, documents });
  }

  /**
   * Reads the budget "main" through a daemon.
   * @param index - position of the daemon that is queried
   * @returns the budget
   * @throws Error if the daemon does not know the budget
   */
  async budget(index = 0): Promise<BudgetView> {
    const found = await this.daemon(index).operator<readonly BudgetView[]>('budgets');
    const budget = found.find(({ name }) => name === 'main');
    if (!budget) throw new Error('the budget "main" is missing');
    return budget;
  }

  /** Configuration documents of the fleet, see testDocuments. */
  get documents(): Documents {
    return testDocuments(this.urls);
  }

  /** Kills the daemons, stops the stand-ins and removes the files. */
  async stop(): Promise<void> {
    this.daemons.forEach(({ child }) => child.signal('SIGKILL'));
    await Promise.all(this.daemons.map(({ child }) => child.ended()));
    await Promise.all(this.engines.map((engine) => engine.stop()));
    await Promise.all([this.store.stop(), this.list.stop(), this.service.stop()]);
    await this.cut?.stop();
    await rm(this.dir, { recursive: true, force: true });
  }

  async #startDaemons(): Promise<void> {
    const centres = this.options.dataCentres ?? ['dc-1', 'dc-2', 'dc-3'];
    for (let index = 0; index < this.options.daemons; index += 1) {
      // Daemons start one at a time, so that their order in the list is fixed.
      // eslint-disable-next-line no-await-in-loop
      await this.addDaemon(`entry-${index + 1}`, centres[index % centres.length] ?? 'dc-1');
    }
    await Promise.all(this.daemons.map((daemon) => daemon.waitHealthy()));
    await this.publish(this.documents);
    const { units } = this.options;
    if (units > 0) {
      await this.daemon(0).order('topups', { budget: 'main', operation: 'first', units });
    }
    await Promise.all(this.daemons.map((daemon) => daemon.waitReady()));
    await waitFor('every daemon applies the first revision', async () => {
      const states = await Promise.all(
        this.daemons.map((daemon) => daemon.operator<{ readonly revision: number }>('status')),
      );
      return states.every(({ revision }) => revision >= 1);
    });
  }
}
