/** Digests of prompt prefixes; equal prefixes have equal digests in every daemon. */
import { hash32 } from '../kernel/index.js';

/** Prompt characters per block; engines share cached prefixes only in whole blocks. */
export const BLOCK_CHARACTERS = 512;

/** Maximum number of blocks of one prompt that are digested. */
const MAX_BLOCKS = 64;

/** Odd multipliers of the 32-bit finaliser of MurmurHash3. */
const FIRST_MULTIPLIER = 0x85_eb_ca_6b;
const SECOND_MULTIPLIER = 0xc2_b2_ae_35;

/** A chat message of a prompt. */
interface PromptMessage {
  readonly role: string;
  readonly content: string;
}

/**
 * Computes the digest of a prompt's prefix at each block boundary.
 * @param workspace - workspace of the request; seeds the digests, so that workspaces share none
 * @param messages - the prompt
 * @returns one unsigned 32-bit digest per block, each over the prompt up to the end of that block;
 *   at least one
 */
export function prefixDigests(
  workspace: string,
  messages: readonly PromptMessage[],
): readonly number[] {
  const limit = MAX_BLOCKS * BLOCK_CHARACTERS;
  let text = '';
  for (const { role, content } of messages) {
    text += `${role}\n${content.slice(0, limit)}\n`;
    if (text.length >= limit) break;
  }
  const blocks = Math.min(MAX_BLOCKS, Math.max(1, Math.floor(text.length / BLOCK_CHARACTERS)));
  const digests: number[] = [];
  let digest = hash32(workspace);
  for (let block = 0; block < blocks; block += 1) {
    const start = block * BLOCK_CHARACTERS;
    digest = hash32(text.slice(start, start + BLOCK_CHARACTERS), digest);
    digests.push(digest);
  }
  return digests;
}

/**
 * Hashes two 32-bit numbers into one, for rendezvous hashing without strings.
 * @param a - first number, for example a prefix digest
 * @param b - second number, for example the hash of a worker's name
 * @returns an unsigned 32-bit number
 */
export function mix32(a: number, b: number): number {
  // An integer hash needs bitwise operations; the hash library accepts only strings.
  /* eslint-disable no-bitwise */
  let mixed = a ^ b;
  mixed = Math.imul(mixed ^ (mixed >>> 16), FIRST_MULTIPLIER);
  mixed = Math.imul(mixed ^ (mixed >>> 13), SECOND_MULTIPLIER);
  return (mixed ^ (mixed >>> 16)) >>> 0;
  /* eslint-enable no-bitwise */
}
