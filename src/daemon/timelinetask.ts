/** Collects the event timeline from every daemon. */
import { mergeEvents, selectEvents } from '../telemetry/index.js';

import type { PeerNetwork } from '../link/index.js';
import type { Recorder, TimelineEvent, TimelineQuery, TimelineView } from '../telemetry/index.js';

/** Longest wait for a peer's answer with its events, in milliseconds. */
const GATHER_TIMEOUT_MS = 1_500;

/** Collects events from the peers and answers their queries. */
export class TimelineTask {
  /**
   * Creates the task and registers the handler for queries of peers.
   * @param recorder - event recorder of this daemon
   * @param network - links to the other daemons
   */
  constructor(
    private readonly recorder: Recorder,
    private readonly network: PeerNetwork,
  ) {
    network.handle('read-timeline', ({ query }) => ({
      type: 'timeline-read',
      events: this.#localEvents(query),
    }));
  }

  /**
   * Collects the matching events of all daemons.
   * @param query - filter of the events
   * @returns the events in causal order, and the instances that did not answer
   */
  async gather(query: TimelineQuery): Promise<TimelineView> {
    const peers = this.network.peers().map(({ name }) => name);
    const body = { type: 'read-timeline', query } as const;
    const answers = await Promise.all(
      peers.map((to) =>
        this.network.request({ to, body, reply: 'timeline-read', timeoutMs: GATHER_TIMEOUT_MS }),
      ),
    );
    const unreachable = peers.filter((_, index) => answers[index]?.err);
    const parts = answers.flatMap((answer) => (answer.ok ? [answer.val.events] : []));
    return { events: mergeEvents([this.#localEvents(query), ...parts]), unreachable };
  }

  #localEvents(query: TimelineQuery): readonly TimelineEvent[] {
    return selectEvents(this.recorder.timeline.list(), query);
  }
}
