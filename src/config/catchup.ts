/** Decides how a starting daemon loads the revision in force: from the store, or from peers. */
import type { InstanceName, Procedure } from '../kernel/index.js';
import type { Manifest } from './revision.js';

/** Revision that a peer reports to have in force. */
export interface PeerRevision {
  readonly peer: InstanceName;
  readonly revision: number;
}

/** Command that the procedure yields. */
export type CatchUpCommand =
  | { readonly type: 'read-store' }
  | { readonly type: 'ask-peers' }
  | { readonly type: 'ask-manifest'; readonly peer: InstanceName }
  | { readonly type: 'apply'; readonly manifest: Manifest; readonly from: InstanceName | null };

/** Result of a command, passed back into the procedure. */
export type CatchUpEvent =
  | { readonly type: 'stored'; readonly manifest: Manifest }
  | { readonly type: 'no-answer' }
  | { readonly type: 'revisions'; readonly peerRevisions: readonly PeerRevision[] }
  | { readonly type: 'manifest'; readonly manifest: Manifest }
  | { readonly type: 'applied'; readonly isComplete: boolean };

/** Outcome of one attempt to catch up. */
export type CatchUpOutcome =
  /** The revision of the store was applied. */
  | 'store'
  /** The store did not answer; the highest revision among the peers was applied. */
  | 'peers'
  /** No revision was applied: none was found, or not completely loaded. The caller tries again. */
  | 'nothing';

type CatchUp = Procedure<CatchUpCommand, CatchUpEvent, CatchUpOutcome>;

function* catchUpFromPeers(): CatchUp {
  const peersReply = yield { type: 'ask-peers' };
  if (peersReply.type !== 'revisions') return 'nothing';
  const ranked = peersReply.peerRevisions
    .filter(({ revision }) => revision > 0)
    .sort((a, b) => b.revision - a.revision);
  const [best] = ranked;
  // Only peers with the highest revision are used: an older revision would undo a publication.
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
 * Loads and applies the revision in force at a daemon that has none yet.
 * @returns a procedure that yields commands, takes their results, and returns the outcome
 */
export function* catchUp(): CatchUp {
  const storeReply = yield { type: 'read-store' };
  if (storeReply.type !== 'stored') return yield* catchUpFromPeers();
  if (storeReply.manifest.revision === 0) return 'nothing';
  const applied = yield { type: 'apply', manifest: storeReply.manifest, from: null };
  return applied.type === 'applied' && applied.isComplete ? 'store' : 'nothing';
}
