/**
 * Announces long prompts to other daemons, which otherwise learn of them only from the later load
 * reports of the upstreams.
 */
import type { PeerNetwork } from '../link/index.js';
import type { UpstreamPool } from './upstreampool.js';

/**
 * Minimum length of a prompt that is announced, in tokens: about what an upstream processes in 100 ms.
 */
const MIN_ANNOUNCED_TOKENS = 6_000;

/**
 * Maximum number of other daemons up to which prompts are announced, to all of them. In a larger fleet, announcements to a
 * few daemons would tell little of the load, and announcements to all would grow with the square of the fleet.
 */
const MAX_PEERS = 8;

/** Timeout of an announcement, in milliseconds: one that arrives later is of no use. */
const ANNOUNCE_TIMEOUT_MS = 300;

/** Sends and receives the announcements of one daemon. */
export class Announcements {
  /**
   * Registers the handler for announcements of other daemons.
   * @param network - links to the other daemons
   * @param upstreamPool - pool that records the announced tokens as load of their upstream
   */
  constructor(
    private readonly network: PeerNetwork,
    upstreamPool: UpstreamPool,
  ) {
    network.handle('promptSent', (message) => {
      upstreamPool.noteForeign(message.upstream, message.tokens);
      return message;
    });
  }

  /**
   * Announces a prompt to the other daemons of a small fleet, if it is long enough.
   * @param upstream - id of the upstream that it is sent to
   * @param tokens - prompt tokens that the upstream probably has to process
   */
  announce(upstream: string, tokens: number): void {
    if (tokens < MIN_ANNOUNCED_TOKENS) return;
    const peers = this.network.peers();
    if (peers.length > MAX_PEERS) return;
    peers.forEach(({ name }) => {
      void this.network.request({
        to: name,
        body: { type: 'promptSent', upstream, tokens },
        reply: 'promptSent',
        timeoutMs: ANNOUNCE_TIMEOUT_MS,
      });
    });
  }
}
