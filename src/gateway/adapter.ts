/** What a platform has to provide for the gateway to run on it. */
import type { Result } from '../kernel/index.js';
import type { SnapshotStore } from '../store/index.js';
import type { GatewayConfiguration } from './configuration.js';
import type { HeaderCodec } from './protocol.js';
import type { UpstreamRecord } from './upstreams.js';

/** Everything that differs from platform to platform. */
export interface PlatformAdapter {
  readonly store: SnapshotStore;
  readonly headers: HeaderCodec;
  /** Key of the object that holds the configuration in force. */
  readonly configurationKey: string;
  /** Start of the keys under which upstreams register themselves. */
  readonly upstreamsPrefix: string;
  /**
   * Decodes a configuration object.
   * @param value - its content
   * @returns the configuration, or what is wrong with it
   */
  readonly decodeConfiguration: (value: unknown) => Result<GatewayConfiguration, string>;
  /**
   * Decodes the entry of an upstream.
   * @param name - name of the entry
   * @param value - its content
   * @returns the upstream, or what is wrong with the entry
   */
  readonly decodeUpstream: (name: string, value: unknown) => Result<UpstreamRecord, string>;
}
