/** Requests and replies between daemons. */
export class PeerNetwork {
}
//# sourceMappingURL=peernetwork.js.map