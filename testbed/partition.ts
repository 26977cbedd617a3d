/** Network partition that isolates some daemons of a test fleet from the store and the others. */
import { FakeInstanceList } from '../fakes/index.js';
import { freePort } from './ports.js';
import { Relay } from './relay.js';

import type { Instance } from '../src/store/index.js';
import type { RelayMode } from './relay.js';

const HOST = '127.0.0.1';

function parseAddress(address: string): { readonly host: string; readonly port: number } {
  const [host = HOST, port = '0'] = address.split(':');
  return { host, port: Number(port) };
}

/**
 * Relays every connection between the two sides of a fleet. Each side has its own instance list, in
 * which the daemons of the other side have the addresses of relays. The isolated side also reaches
 * the object API through a relay.
 */
export class Partition {
  readonly #relays = new Map<string, Relay>();

  #mode: RelayMode = 'pass';

  private constructor(
    private readonly names: readonly string[],
    private readonly list: FakeInstanceList,
    private readonly listUrl: string,
    private readonly store: Relay,
  ) {}

  /**
   * Starts the relays and the instance list; all connections pass until setMode is called.
   * @param names - daemons of the isolated side
   * @param objectsPort - port of the object API
   * @returns the partition
   */
  static async start(names: readonly string[], objectsPort: number): Promise<Partition> {
    const port = await freePort();
    const list = await FakeInstanceList.start({ host: HOST, port, lagMs: 300 });
    const store = await Relay.start(HOST, objectsPort);
    return new Partition(names, list, `http://${HOST}:${port}`, store);
  }

  /**
   * Returns the base URL of the object API for a daemon.
   * @param name - instance name
   * @param url - base URL without a relay
   * @returns base URL of the relay for an isolated daemon, otherwise the given URL
   */
  objectsUrlFor(name: string, url: string): string {
    return this.names.includes(name) ? `http://${this.store.address}` : url;
  }

  /**
   * Returns the base URL of the instance list for a daemon.
   * @param name - instance name
   * @param url - base URL of the list for the side with the store
   * @returns base URL of the isolated side's own list, or the given URL
   */
  instancesUrlFor(name: string, url: string): string {
    return this.names.includes(name) ? this.listUrl : url;
  }

  /**
   * Sets the list of the isolated side and starts relays for new instances.
   * @param instances - instances with their actual addresses
   * @returns the instance list for the side with the store
   */
  async updateInstances(instances: readonly Instance[]): Promise<readonly Instance[]> {
    const viaRelay = await Promise.all(instances.map((instance) => this.#relayed(instance)));
    const isCut = ({ name }: Instance): boolean => this.names.includes(name);
    const cut = instances.filter(isCut);
    this.list.set([...viaRelay.filter((instance) => !isCut(instance)), ...cut]);
    return [...instances.filter((instance) => !isCut(instance)), ...viaRelay.filter(isCut)];
  }

  /**
   * Sets the mode of all connections between the sides.
   * @param mode - "cut" closes open connections and resets new ones, "silent" drops the bytes of open and new
   * ones for good, "pass" forwards new connections; silenced ones never forward bytes again
   */
  setMode(mode: RelayMode): void {
    this.#mode = mode;
    this.store.setMode(mode);
    this.#relays.forEach((relay) => relay.setMode(mode));
  }

  /** Stops the relays and the isolated side's instance list. */
  async stop(): Promise<void> {
    await Promise.all([...this.#relays.values()].map((relay) => relay.stop()));
    await Promise.all([this.store.stop(), this.list.stop()]);
  }

  async #relayed(instance: Instance): Promise<Instance> {
    const key = instance.peerAddress;
    const { host, port } = parseAddress(key);
    const relay = this.#relays.get(key) ?? (await Relay.start(host, port));
    if (!this.#relays.has(key)) relay.setMode(this.#mode);
    this.#relays.set(key, relay);
    return { ...instance, peerAddress: relay.address };
  }
}
