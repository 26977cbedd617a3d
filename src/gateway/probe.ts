/** Probes whether an upstream still listens. */
import { connect } from 'node:net';

import { PolledTimer } from '../kernel/index.js';

/** Time limit for the connection of a probe, in milliseconds. */
const PROBE_TIMEOUT_MS = 300;

/**
 * Checks whether something listens at an address.
 * @param address - "IP:port"
 * @returns whether a connection could be opened in time
 */
export function isListening(address: string): Promise<boolean> {
  const at = address.lastIndexOf(':');
  return new Promise((resolve) => {
    const socket = connect({ host: address.slice(0, at), port: Number(address.slice(at + 1)) });
    const finish = (isOpen: boolean): void => {
      socket.destroy();
      resolve(isOpen);
    };
    const timer = new PolledTimer(PROBE_TIMEOUT_MS, () => finish(false));
    socket.once('close', () => timer.clear());
    socket.once('connect', () => finish(true));
    socket.once('error', () => finish(false));
  });
}
