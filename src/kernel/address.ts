/** Network addresses of the form "IP:port". */
import { isIPv4 } from 'node:net';

const MAX_PORT = 65_535;

/** A port without leading zeros. */
const PORT = /^[1-9]\d{0,4}$/;

/**
 * Checks an address.
 * @param text - the address
 * @returns whether it is an IPv4 address and a port to which a connection can be opened
 */
export function isAddress(text: string): boolean {
  const [host = '', port = '', ...rest] = text.split(':');
  return rest.length === 0 && isIPv4(host) && PORT.test(port) && Number(port) <= MAX_PORT;
}
