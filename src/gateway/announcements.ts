/**
 * Announces long prompts to other daemons, earlier than the load reports of the upstreams show
 * them.
 */
import type { PeerNetwork } from '../link/index.js';
import type { UpstreamPool } from './upstreampool.js';

/**
 * Prompt tokens from which a prompt is announced: what an upstream reads in a tenth of a second.
 */
const MIN_ANNOUNCED_TOKENS = 6_000;

/** Most daemons that receive an announcement: limits the traffic in a large fleet. */
const MAX_PEERS = 8;

/** Timeout of an announcement, in milliseconds: it is of no use later. */
const ANNOUNCE_TIMEOUT_MS = 300;

/** Sends and receives the announcements of one daemon. */
export class Announcements {
  /**
   * Registers the handler for announcements of other daemons.
   * @param network - links to the other daemons
   * @param upstreamPool - upstreams to which received announcements are added
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
   * Announces a prompt to other daemons, if it is long.
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
