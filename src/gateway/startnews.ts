/**
 * What a daemon asks others when it starts. The store may have come back from an older copy shortly before: it then shows
 * a configuration, upstreams and evacuations that the others know to be outdated, and the new daemon does not.
 */
import type { PeerMessageOf, PeerNetwork } from '../link/index.js';

/** Number of other daemons that are asked. */
const ASKED_PEERS = 3;

/** Longest wait for their replies, in milliseconds: a few round trips and the opening of a link. */
const ASK_TIMEOUT_MS = 300;

/** An incarnation of an upstream that leaves or has left. */
export interface LeftUpstream {
  readonly id: string;
  readonly startedAt: number;
}

/** An evacuation that the store lacks at the moment. */
export interface AwaitedEvacuation {
  readonly dataCentre: string;
  /** Time for which it is still in force, in milliseconds. */
  readonly leftMs: number;
}

/** What daemons know that the store may have lost. */
export interface StartNews {
  /** Highest version of the configuration that is in force anywhere; 0 for none. */
  readonly version: number;
  readonly left: readonly LeftUpstream[];
  readonly evacuations: readonly AwaitedEvacuation[];
}

type Told = PeerMessageOf<'routingTold'>;

/**
 * Answers the daemons that start.
 * @param network - links to the other daemons
 * @param news - returns what this daemon knows
 */
export function tellNews(network: PeerNetwork, news: () => StartNews): void {
  network.handle('routingAsked', (): Told => ({ type: 'routingTold', ...news() }));
}

/**
 * Asks some other daemons.
 * @param network - links to them
 * @param random - random numbers in [0, 1)
 * @returns all that they know together; undefined if there are none or none replies in time
 */
export async function askNews(
  network: PeerNetwork,
  random: () => number,
): Promise<StartNews | undefined> {
  const asked = network
    .peers()
    .map(({ name }) => ({ name, rank: random() }))
    .sort((one, other) => one.rank - other.rank)
    .slice(0, ASKED_PEERS);
  const replies = await Promise.all(
    asked.map(({ name }) =>
      network.request({
        to: name,
        body: { type: 'routingAsked' },
        reply: 'routingTold',
        timeoutMs: ASK_TIMEOUT_MS,
      }),
    ),
  );
  const told = replies.flatMap((reply) => (reply.ok ? [reply.val] : []));
  if (told.length === 0) return undefined;
  return {
    version: Math.max(...told.map(({ version }) => version)),
    left: told.flatMap(({ left }) => left),
    evacuations: told.flatMap(({ evacuations }) => evacuations),
  };
}
