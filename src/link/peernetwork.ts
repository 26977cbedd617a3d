/** Abstract peer network: typed requests to other daemons. */
import type { Failure, Incarnation, InstanceName, Result } from '../kernel/index.js';
import type { Instance } from '../store/index.js';
import type { PeerMessage, PeerMessageOf, PeerMessageType } from './messages.js';

/** Handles a request of a peer. If it throws or rejects, no reply is sent. */
export type PeerHandler<Type extends PeerMessageType> = (
  message: PeerMessageOf<Type>,
  from: Incarnation,
) => PeerMessage | Promise<PeerMessage>;

/** One request to a peer, and the message type of the expected reply. */
export interface PeerRequest<Reply extends PeerMessageType> {
  readonly to: InstanceName;
  readonly body: PeerMessage;
  readonly reply: Reply;
  readonly timeoutMs: number;
}

/** Requests and replies between daemons. */
export abstract class PeerNetwork {
  /**
   * Sends a request and waits for the reply.
   * @param req - receiver, body, expected type of the reply and timeout
   * @returns the reply, or a failure, after which the peer may still have carried out the request
   */
  abstract request<Reply extends PeerMessageType>(
    req: PeerRequest<Reply>,
  ): Promise<Result<PeerMessageOf<Reply>, Failure>>;

  /**
   * Registers the handler of one message type.
   * @param type - message type
   * @param handler - handler for requests of that type; replaces an earlier one
   */
  abstract handle<Type extends PeerMessageType>(type: Type, handler: PeerHandler<Type>): void;

  /**
   * Lists the other instances of the fleet.
   * @returns the instances in the directory except this one
   */
  abstract peers(): readonly Instance[];

  /**
   * Returns the incarnation that an instance presented on the last link that was opened to it.
   * @param instance - instance name
   * @returns the incarnation; undefined before the first link
   */
  abstract incarnationOf(instance: InstanceName): Incarnation | undefined;
}
