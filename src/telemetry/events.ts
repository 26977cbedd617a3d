/** Catalogue of numbered events. A test checks that docs/EVENTS.md, generated from it, is up to date. */

/** Number, severity and log text of an event. */
interface EventKind {
  readonly number: number;
  readonly level: 'debug' | 'info' | 'warn' | 'error';
  readonly text: string;
}

/** All events that a daemon logs and keeps in its timeline. */
export const EVENTS = {
  daemonStarted: { number: 1001, level: 'info', text: 'daemon started' },
  programLoaded: { number: 1013, level: 'info', text: 'program loaded' },
  codeCacheRejected: {
    number: 1014,
    level: 'warn',
    text: 'the code cache of the program was rejected, so it was compiled from source; build again with the Node.js and flags of "run"',
  },
  daemonStopping: { number: 1003, level: 'info', text: 'graceful stop began' },
  listenerClosed: {
    number: 1015,
    level: 'info',
    text: 'listener for callers closed during a graceful stop',
  },
  listenerFailed: {
    number: 1016,
    level: 'error',
    text: 'a listener could not accept a connection',
  },
  connectionDropped: {
    number: 1017,
    level: 'warn',
    text: 'a connection was closed unread, as callers have too many open',
  },
  memoryHigh: {
    number: 1018,
    level: 'warn',
    text: 'the process uses most of the memory of its instance',
  },
  stopOver: { number: 1019, level: 'info', text: 'graceful stop is over, the process ends' },
  daemonStopped: { number: 1004, level: 'info', text: 'daemon stopped' },
  handoverDone: { number: 1005, level: 'info', text: 'charges and grants handed over' },
  handoverDelayed: {
    number: 1006,
    level: 'warn',
    text: 'handover to the store or a peer is not complete yet',
  },
  handoverTaken: { number: 1007, level: 'info', text: 'charge lines of a stopping peer accepted' },
  handoverDelivered: {
    number: 1008,
    level: 'info',
    text: 'charge lines of a stopping peer delivered',
  },
  requestReceived: { number: 1101, level: 'debug', text: 'request received' },
  reservationShort: { number: 1102, level: 'info', text: 'available units do not cover a request' },
  storeAsked: { number: 1103, level: 'info', text: 'asked the store for units' },
  peerAsked: { number: 1104, level: 'info', text: 'asked another daemon for units' },
  requestAdmitted: { number: 2001, level: 'debug', text: 'request admitted' },
  requestDispatched: { number: 2002, level: 'debug', text: 'request dispatched to an upstream' },
  requestAnswered: { number: 2003, level: 'debug', text: 'request answered completely' },
  requestRefused: { number: 2004, level: 'info', text: 'request refused' },
  requestFailed: {
    number: 2006,
    level: 'error',
    text: 'internal error while serving a request',
  },
  requestLeft: {
    number: 2007,
    level: 'info',
    text: 'caller disconnected before its request was served',
  },
  requestCut: { number: 2005, level: 'warn', text: 'answer interrupted before its end' },
  grantDrawn: { number: 3001, level: 'info', text: 'units drawn from the store' },
  grantRefused: { number: 3002, level: 'info', text: 'the store had no units left to grant' },
  unitsLent: { number: 3006, level: 'info', text: 'units lent to another daemon' },
  unitsBorrowed: { number: 3007, level: 'info', text: 'units borrowed from another daemon' },
  chargeCopied: { number: 3003, level: 'debug', text: 'charge line copied to the backup' },
  chargesDelivered: { number: 3004, level: 'info', text: 'charge lines delivered to the store' },
  chargesDelayed: { number: 3005, level: 'warn', text: 'charge lines could not be delivered yet' },
  backupChanged: { number: 3501, level: 'info', text: 'another daemon is now the backup' },
  holderFenced: {
    number: 3502,
    level: 'error',
    text: 'this incarnation has been fenced and must stop',
  },
  recoveryBegun: { number: 3503, level: 'warn', text: 'recovery of an unresponsive holder began' },
  recoveryEnded: { number: 3504, level: 'info', text: 'a holder was recovered' },
  recoveryHeld: {
    number: 3505,
    level: 'warn',
    text: 'units stay held: copies of the charge lines are unavailable',
  },
  statementFolded: { number: 3506, level: 'debug', text: 'charge lines added to the statement' },
  duplicateCredited: {
    number: 3507,
    level: 'warn',
    text: 'charge of a repeated request key credited',
  },
  holdersClosed: { number: 3508, level: 'info', text: 'entries of ended holders closed' },
  shardCareFailed: { number: 3509, level: 'warn', text: 'shard maintenance failed' },
  configApplied: { number: 4001, level: 'info', text: 'configuration revision in force' },
  configRejected: { number: 4002, level: 'error', text: 'configuration revision cannot be read' },
  configUnconfirmed: { number: 4003, level: 'warn', text: 'configuration cannot be confirmed' },
  configFromPeers: {
    number: 4004,
    level: 'warn',
    text: 'configuration loaded from peers: the object API does not answer',
  },
  configOutdated: {
    number: 4006,
    level: 'warn',
    text: 'the store shows an older configuration than the one in force, which stays in force',
  },
  configAwaited: {
    number: 4007,
    level: 'warn',
    text: 'other daemons have a newer configuration than the store shows; not ready until it is written again',
  },
  piecesRemoved: { number: 4005, level: 'info', text: 'old configuration pieces removed' },
  planMoved: { number: 4501, level: 'info', text: 'plan state updated' },
  planTakenOver: {
    number: 4502,
    level: 'warn',
    text: 'plan taken over from its previous executor',
  },
  planOrdered: { number: 4503, level: 'info', text: 'order sent to an upstream' },
  planInForce: {
    number: 4504,
    level: 'info',
    text: 'plan accepted: no new requests for its target',
  },
  plansUnconfirmed: { number: 4505, level: 'warn', text: 'plans cannot be confirmed' },
  linkOpened: { number: 5001, level: 'info', text: 'peer link opened' },
  linkClosed: { number: 5002, level: 'info', text: 'peer link closed' },
  linkRefused: {
    number: 5003,
    level: 'warn',
    text: 'peer refused: unknown instance, or no proof of the key',
  },
  linkSilent: { number: 5004, level: 'warn', text: 'peer link timed out; it is replaced' },
  messageRejected: { number: 5005, level: 'warn', text: 'peer message rejected by its schema' },
  daemonUnreadable: {
    number: 5007,
    level: 'warn',
    text: 'the entry of a daemon cannot be used, so no link to it is opened',
  },
  daemonsListed: { number: 5006, level: 'info', text: 'registered daemons listed' },
  storeUnavailable: { number: 6001, level: 'warn', text: 'object API does not answer' },
  storeLost: { number: 6002, level: 'warn', text: 'the store does not answer a watch' },
  storeRegained: { number: 6003, level: 'info', text: 'the store answers watch requests again' },
  storeHandlerFailed: {
    number: 6004,
    level: 'error',
    text: 'objects from the store could not be applied; report this line',
  },
  storeEraRose: {
    number: 6005,
    level: 'warn',
    text: 'the store came back from an older copy: its last writes are lost, and are written again',
  },
  storeWrittenAgain: {
    number: 6006,
    level: 'info',
    text: 'an object that the store had lost or replaced was written again',
  },
  sharedValueAdopted: {
    number: 6007,
    level: 'warn',
    text: 'a value that the fleet shares was replaced by that of the others',
  },
  upstreamEjected: { number: 7001, level: 'warn', text: 'failing upstream ejected for a while' },
  upstreamsChanged: {
    number: 7003,
    level: 'info',
    text: 'upstreams registered, leaving or removed',
  },
  upstreamDoubted: {
    number: 7012,
    level: 'info',
    text: 'a copy of the store shows upstreams as serving that leave or have left; they get no requests',
  },
  upstreamUnreadable: { number: 7004, level: 'warn', text: 'an upstream entry cannot be used' },
  upstreamLeaving: {
    number: 7005,
    level: 'info',
    text: 'an upstream announced in an answer that it leaves; it receives no further requests',
  },
  upstreamPaused: {
    number: 7006,
    level: 'info',
    text: 'an upstream asked for a pause; it receives no requests meanwhile',
  },
  upstreamResumed: {
    number: 7007,
    level: 'info',
    text: 'an upstream answered again after the pause that it had asked for',
  },
  upstreamLimited: {
    number: 7008,
    level: 'info',
    text: 'an upstream named the requests per second that it accepts; it receives requests by permit',
  },
  upstreamUnlimited: {
    number: 7009,
    level: 'info',
    text: 'an upstream no longer names a limit',
  },
  limitSteward: {
    number: 7010,
    level: 'info',
    text: 'this daemon grants permits for an upstream that names a limit or is cold; its role has changed',
  },
  permitDenied: {
    number: 7011,
    level: 'info',
    text: 'no permit for a request to an upstream that names a limit or is cold; requests are placed elsewhere meanwhile',
  },
  upstreamCold: {
    number: 7014,
    level: 'info',
    text: 'an upstream is or may be cold; it receives requests by permit, at the rate that its service names',
  },
  evacuationsChanged: {
    number: 7201,
    level: 'info',
    text: 'evacuated data centres changed; their upstreams receive no requests',
  },
  upstreamCrashed: {
    number: 7101,
    level: 'warn',
    text: 'an upstream crashed while requests had no answer; their prompt parts are suspected',
  },
  partRejected: {
    number: 7102,
    level: 'warn',
    text: 'prompt parts are rejected: upstreams crashed on them',
  },
  partCleared: {
    number: 7103,
    level: 'info',
    text: 'a prompt part is no longer rejected',
  },
  partTrial: {
    number: 7104,
    level: 'info',
    text: 'trial of rejected prompt parts claimed',
  },
  crashesShared: { number: 7105, level: 'info', text: 'crash reports shared with the fleet' },
  crashesDelayed: {
    number: 7106,
    level: 'warn',
    text: 'crash reports could not be read or shared; this daemon goes by its own',
  },
  callEnded: { number: 8001, level: 'info', text: 'request ended' },
  callSent: { number: 8002, level: 'info', text: 'request sent to an upstream' },
  callAttemptFailed: { number: 8003, level: 'warn', text: 'an attempt at an upstream failed' },
  callRefused: { number: 8004, level: 'info', text: 'request refused; it has not run' },
  callFailed: { number: 8005, level: 'warn', text: 'request failed; it may have run' },
  callInStop: {
    number: 8006,
    level: 'info',
    text: 'request arrived late in a graceful stop',
  },
  callCutByStop: {
    number: 8007,
    level: 'warn',
    text: 'request was still open when the time for a graceful stop ended',
  },
  answerUnsent: {
    number: 8008,
    level: 'warn',
    text: 'the connection of a caller ended before the whole answer was sent',
  },
  callerHalfClosed: {
    number: 8009,
    level: 'info',
    text: 'the caller closed its sending side before the end of its answer',
  },
  callSentElsewhere: {
    number: 8021,
    level: 'info',
    text: 'request refused because other daemons would serve it sooner; it has not run',
  },
  rotationChanged: {
    number: 8022,
    level: 'info',
    text: 'this daemon left or joined the rotation of new connections',
  },
  allowanceDrawn: { number: 8101, level: 'info', text: 'prepaid units drawn or reported' },
  allowanceDelayed: { number: 8102, level: 'warn', text: 'prepaid units could not be drawn' },
  allowanceLent: { number: 8103, level: 'info', text: 'prepaid units lent to another daemon' },
  allowanceBorrowed: {
    number: 8104,
    level: 'info',
    text: 'prepaid units requested from other daemons',
  },
  allowanceFenced: { number: 8105, level: 'error', text: 'the row of this daemon was closed' },
  allowancesHeld: { number: 8106, level: 'info', text: 'prepaid units available to this daemon' },
  allowanceReturned: {
    number: 8107,
    level: 'info',
    text: 'prepaid units transferred to a daemon that did not request them',
  },
  allowanceLate: { number: 8108, level: 'info', text: 'a loan arrived after its time limit' },
  shardsKept: {
    number: 8109,
    level: 'warn',
    text: 'configured number of shard objects ignored; the stored one applies',
  },
  allowanceEraOpened: {
    number: 8110,
    level: 'info',
    text: 'the rows of a shard are made for an era of the store from what the daemons know',
  },
  allowanceRestored: {
    number: 8111,
    level: 'info',
    text: 'the row of this daemon was written again in a new era of the store',
  },
  allowanceUncertain: {
    number: 8112,
    level: 'warn',
    text: 'instances were not heard in a new era of the store; a part of the paid units is held back for each',
  },
  allowanceUncopied: {
    number: 8113,
    level: 'warn',
    text: 'no other daemon keeps a copy of a draw; only a part of its units is used',
  },
  signalIgnored: {
    number: 1009,
    level: 'info',
    text: 'signal without effect; "detail" tells what to do instead',
  },
  unexpectedError: {
    number: 1020,
    level: 'error',
    text: 'an error that no part of the program handles; the daemon stops gracefully',
  },
  loopDelayed: { number: 1011, level: 'warn', text: 'event loop delayed' },
  linesDropped: {
    number: 1010,
    level: 'warn',
    text: 'log lines dropped: the log reader is too slow or has failed',
  },
  attemptCancelled: { number: 7002, level: 'debug', text: 'attempt cancelled at the engine' },
} as const satisfies Readonly<Record<string, EventKind>>;

/** Name of an event in the catalogue. */
export type EventName = keyof typeof EVENTS;
