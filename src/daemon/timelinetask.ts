/** Gathers the time line from every daemon. */
import { mergeEvents, selectEvents } from '../telemetry/index.js';

import type { PeerNetwork } from '../link/index.js';
import type { Recorder, TimelineEvent, TimelineQuery, TimelineView } from '../telemetry/index.js';

/** Longest wait for the events of a peer, in milliseconds. */
const GATHER_TIMEOUT_MS = 1_500;

/** Answers peers and gathers from them. */
export class TimelineTask {
  /**
   * Creates the task.
   * @param recorder - events of this daemon
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
   * Gathers the events of all daemons.
   * @param query - which events
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
