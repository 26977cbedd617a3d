/** Digests of prompt prefixes: equal prefixes give equal digests in every daemon. */
import { hash32 } from '../kernel/index.js';

/** Characters of prompt in one block; an engine shares its cache in whole blocks. */
export const BLOCK_CHARACTERS = 512;

/** Blocks of one prompt that are digested. */
const MAX_BLOCKS = 64;

/** Odd multipliers of the 32-bit finaliser of MurmurHash3. */
const FIRST_MULTIPLIER = 0x85_eb_ca_6b;
const SECOND_MULTIPLIER = 0xc2_b2_ae_35;

/** A message whose text is part of a prompt. */
interface PromptMessage {
  readonly role: string;
  readonly content: string;
}

/**
 * Digests a prompt at each block boundary.
 * @param workspace - workspace that asks; prompts of different workspaces never share a digest
 * @param messages - the prompt
 * @returns one unsigned 32-bit number a block, each over everything before it; at least one
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
 * Mixes two numbers into one, for rendezvous hashing without strings.
 * @param a - for example a digest
 * @param b - for example the hash of a worker's name
 * @returns an unsigned 32-bit number
 */
export function mix32(a: number, b: number): number {
  // An integer hash is made of bitwise operations; the library's hashes texts only.
  /* eslint-disable no-bitwise */
  let mixed = a ^ b;
  mixed = Math.imul(mixed ^ (mixed >>> 16), FIRST_MULTIPLIER);
  mixed = Math.imul(mixed ^ (mixed >>> 13), SECOND_MULTIPLIER);
  return (mixed ^ (mixed >>> 16)) >>> 0;
  /* eslint-enable no-bitwise */
}
