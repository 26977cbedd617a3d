/** Peer network: typed requests to other daemons. */
import type { Failure, Incarnation, InstanceName, Result } from '../kernel/index.js';
import type { Instance } from '../store/index.js';
import type { PeerMessage, PeerMessageOf, PeerMessageType } from './messages.js';

/** Answers a request of a peer; a rejected promise becomes no answer. */
export type PeerHandler<Type extends PeerMessageType> = (
  message: PeerMessageOf<Type>,
  from: Incarnation,
) => PeerMessage | Promise<PeerMessage>;

/** One request to a peer. */
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
   * @param req - receiver, body, expected type of the reply, time limit
   * @returns the reply, or a failure; the peer may have acted all the same
   */
  abstract request<Reply extends PeerMessageType>(
    req: PeerRequest<Reply>,
  ): Promise<Result<PeerMessageOf<Reply>, Failure>>;

  /**
   * Registers the handler of one message type.
   * @param type - message type
   * @param handler - answers requests of that type
   */
  abstract handle<Type extends PeerMessageType>(type: Type, handler: PeerHandler<Type>): void;

  /**
   * Lists the other instances of the fleet.
   * @returns instances as the platform lists them, without this one
   */
  abstract peers(): readonly Instance[];

  /**
   * Gives the incarnation that an instance last presented on a link.
   * @param instance - instance name
   * @returns the incarnation; undefined before the first link
   */
  abstract incarnationOf(instance: InstanceName): Incarnation | undefined;
}
