/** How a daemon finds the revision that is in force: from the store, or from its peers in an outage. */
import type { InstanceName, Procedure } from '../kernel/index.js';
import type { Manifest } from './revision.js';

/** What a peer says that it has in force. */
export interface PeerRevision {
  readonly peer: InstanceName;
  readonly revision: number;
}

/** What the procedure asks for. */
export type CatchUpCommand =
  | { readonly type: 'read-store' }
  | { readonly type: 'ask-peers' }
  | { readonly type: 'ask-manifest'; readonly peer: InstanceName }
  | { readonly type: 'apply'; readonly manifest: Manifest; readonly from: InstanceName | null };

/** What the procedure is told. */
export type CatchUpEvent =
  | { readonly type: 'stored'; readonly manifest: Manifest }
  | { readonly type: 'no-answer' }
  | { readonly type: 'revisions'; readonly peerRevisions: readonly PeerRevision[] }
  | { readonly type: 'manifest'; readonly manifest: Manifest }
  | { readonly type: 'applied'; readonly isComplete: boolean };

/** What came of it. */
export type CatchUpOutcome =
  /** The revision of the store is in force. */
  | 'store'
  /** The highest revision among the peers is in force; the store does not answer. */
  | 'peers'
  /** Nothing newer could be found; try again. */
  | 'nothing';

type CatchUp = Procedure<CatchUpCommand, CatchUpEvent, CatchUpOutcome>;

function* catchUpFromPeers(): CatchUp {
  const peersReply = yield { type: 'ask-peers' };
  if (peersReply.type !== 'revisions') return 'nothing';
  const ranked = peersReply.peerRevisions
    .filter(({ revision }) => revision > 0)
    .sort((a, b) => b.revision - a.revision);
  const [best] = ranked;
  // Only peers with the highest revision count: an older one would bring back what was replaced.
  for (const { peer, revision } of ranked) {
    if (revision < (best?.revision ?? 0)) break;
    const manifestReply = yield { type: 'ask-manifest', peer };
    if (manifestReply.type === 'manifest') {
      const applied = yield { type: 'apply', manifest: manifestReply.manifest, from: peer };
      if (applied.type === 'applied' && applied.isComplete) return 'peers';
    }
  }
  return 'nothing';
}

/**
 * Finds the revision in force for a fresh daemon.
 * @returns commands, and what came of them
 */
export function* catchUp(): CatchUp {
  const storeReply = yield { type: 'read-store' };
  if (storeReply.type !== 'stored') return yield* catchUpFromPeers();
  if (storeReply.manifest.revision === 0) return 'nothing';
  const applied = yield { type: 'apply', manifest: storeReply.manifest, from: null };
  return applied.type === 'applied' && applied.isComplete ? 'store' : 'nothing';
}
