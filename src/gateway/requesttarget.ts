/** Host and path of a request, from its target and its Host field. */

/** Host and path of a request. */
export interface RequestTarget {
  /** Host, with or without a port. */
  readonly host: string;
  /** Path and query, which upstreams are sent. */
  readonly path: string;
}

/** Target in absolute form: scheme, authority, and path with query. */
const ABSOLUTE_FORM = /^https?:\/\/([^/?#]*)(.*)$/i;

/**
 * Reads the target of a request. In absolute form it goes before the Host field (RFC 9112, section 3.2.2).
 * @param target - target as sent
 * @param hostField - Host field as sent; empty if there is none
 * @returns host and path
 */
export function requestTarget(target: string, hostField: string): RequestTarget {
  const [, authority, rest = ''] = ABSOLUTE_FORM.exec(target) ?? [];
  if (authority === undefined) return { host: hostField, path: target };
  const host = authority.slice(authority.lastIndexOf('@') + 1);
  return { host, path: rest.startsWith('/') ? rest : `/${rest}` };
}
