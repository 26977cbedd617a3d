/** Tells other daemons of long prompts before the upstreams' load reports do. */
import type { PeerNetwork } from '../link/index.js';
import type { UpstreamPool } from './upstreampool.js';

/** Prompt tokens from which the others are told: what an upstream reads in a tenth of a second. */
const MIN_ANNOUNCED_TOKENS = 6_000;

/** Daemons that are told: bounds the traffic where the fleet is large. */
const MAX_PEERS = 8;

/** Longest wait for a daemon that is told, in milliseconds; its answer is of no use later. */
const ANNOUNCE_TIMEOUT_MS = 300;

/** Sends and receives the announcements of one daemon. */
export class Announcements {
  /**
   * Creates both sides.
   * @param network - links to the other daemons
   * @param upstreamPool - where received announcements are kept
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
   * Tells the others of a prompt, if it is long.
   * @param upstream - id of the upstream that it goes to
   * @param tokens - prompt tokens that the upstream probably has to read
   */
  announce(upstream: string, tokens: number): void {
    if (tokens < MIN_ANNOUNCED_TOKENS) return;
    this.network
      .peers()
      .slice(0, MAX_PEERS)
      .forEach(({ name }) => {
        void this.network.request({
          to: name,
          body: { type: 'promptSent', upstream, tokens },
          reply: 'promptSent',
          timeoutMs: ANNOUNCE_TIMEOUT_MS,
        });
      });
  }
}
