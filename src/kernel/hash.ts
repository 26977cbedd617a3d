/** Hash functions: for rendezvous hashing, shards and digests of keys. */
import { createHash } from 'node:crypto';

import { xxHash32 } from 'js-xxhash';

/**
 * Hashes a text with xxHash32.
 * @param text - any text
 * @param seed - seed of the hash
 * @returns an unsigned 32-bit number
 */
export function hash32(text: string, seed = 0): number {
  return xxHash32(text, seed);
}

/**
 * Orders candidates by rendezvous hashing: each key has its own order, which stays the same among the remaining
 * candidates when others are added or removed.
 * @param key - key to be assigned
 * @param candidates - names of the candidates
 * @returns the candidates, the preferred one first
 */
export function rendezvous(key: string, candidates: readonly string[]): readonly string[] {
  const scored = candidates.map((name) => ({ name, score: hash32(`${name}\n${key}`) }));
  scored.sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1));
  return scored.map(({ name }) => name);
}

/**
 * Computes the SHA-256 digest of a text.
 * @param text - any text
 * @returns the digest in hexadecimal
 */
export function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}
