/** Cuts some daemons of a test fleet off from the store and from the other daemons. */
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
 * Stands between two sides of a fleet. Every connection that crosses goes through a relay: the cut
 * side has an instance list of its own, in which the other side has the addresses of relays.
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
   * Prepares a partition; nothing is cut yet.
   * @param names - daemons of the side that can be cut off
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
   * Gives the object API as a daemon sees it.
   * @param name - instance name
   * @param url - the object API itself
   * @returns the base address
   */
  objectsUrlFor(name: string, url: string): string {
    return this.names.includes(name) ? `http://${this.store.address}` : url;
  }

  /**
   * Gives the instance list as a daemon sees it.
   * @param name - instance name
   * @param url - the fleet's list
   * @returns the base address
   */
  instancesUrlFor(name: string, url: string): string {
    return this.names.includes(name) ? this.listUrl : url;
  }

  /**
   * Takes note of the instances.
   * @param instances - instances with their own addresses
   * @returns the list for the side that keeps the store
   */
  async updateInstances(instances: readonly Instance[]): Promise<readonly Instance[]> {
    const viaRelay = await Promise.all(instances.map((instance) => this.#relayed(instance)));
    const isCut = ({ name }: Instance): boolean => this.names.includes(name);
    const cut = instances.filter(isCut);
    this.list.set([...viaRelay.filter((instance) => !isCut(instance)), ...cut]);
    return [...instances.filter((instance) => !isCut(instance)), ...viaRelay.filter(isCut)];
  }

  /**
   * Switches every connection between the sides.
   * @param mode - cut, silent or pass
   */
  setMode(mode: RelayMode): void {
    this.#mode = mode;
    this.store.setMode(mode);
    this.#relays.forEach((relay) => relay.setMode(mode));
  }

  /** Stops the relays and the list. */
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
