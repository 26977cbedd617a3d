/** Hashing: rendezvous choice, shards and key digests. */
import { createHash } from 'node:crypto';
import xxhash from 'xxhash-wasm';
const { h32 } = await xxhash();
/**
 * Hashes a text with xxHash32.
 * @param text - any text
 * @param seed - varies the hash
 * @returns an unsigned 32-bit number
 */
export function hash32(text, seed = 0) {
    return h32(text, seed);
}
/**
 * Orders candidates by rendezvous hash: each key has its own stable order.
 * @param key - what is to be placed
 * @param candidates - names to choose from
 * @returns the candidates, the preferred one first
 */
export function rendezvous(key, candidates) {
    const scored = candidates.map((name) => ({ name, score: h32(`${name}\n${key}`) }));
    scored.sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1));
    return scored.map(({ name }) => name);
}
/**
 * Gives the SHA-256 digest of a text.
 * @param text - any text
 * @returns the digest in hexadecimal
 */
export function sha256(text) {
    return createHash('sha256').update(text).digest('hex');
}
//# sourceMappingURL=hash.js.map