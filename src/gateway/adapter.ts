/** Interface between the gateway and the platform that it runs on. */
import type { Result } from '../kernel/index.js';
import type { SnapshotStore } from '../store/index.js';
import type { GatewayConfiguration } from './configuration.js';
import type { HeaderCodec } from './protocol.js';
import type { UpstreamRecord } from './upstreams.js';

/** Platform-specific store, keys and codecs. */
export interface PlatformAdapter {
  readonly store: SnapshotStore;
  readonly headers: HeaderCodec;
  /** Key of the object that holds the current configuration. */
  readonly configurationKey: string;
  /** Key prefix of the upstreams' entries in the store. */
  readonly upstreamsPrefix: string;
  /** Key prefix of the evacuations in the store; the rest of a key is the name of a data centre. */
  readonly evacuationsPrefix: string;
  /**
   * Decodes a configuration object.
   * @param value - its content
   * @returns the configuration, or a message that says why it is invalid
   */
  readonly decodeConfiguration: (value: unknown) => Result<GatewayConfiguration, string>;
  /**
   * Decodes the entry of an upstream.
   * @param name - name of the entry
   * @param value - its content
   * @returns the upstream, or a message that says why the entry is invalid
   */
  readonly decodeUpstream: (name: string, value: unknown) => Result<UpstreamRecord, string>;
}
