/** All messages between daemons: the union of the messages that each module defines. */
import * as z from 'zod';

import { allowanceMessages } from '../allowance/messages.js';
import { budgetMessages } from '../budget/messages.js';
import { configMessages } from '../config/messages.js';
import { fleetMessages } from '../fleet/messages.js';
import { planMessages } from '../plan/messages.js';
import { requestMessages } from '../request/messages.js';
import { routeMessages } from '../route/messages.js';
import { telemetryMessages } from '../telemetry/messages.js';

/** Schema of the body of a peer message. */
export const peerMessageSchema = z.discriminatedUnion('type', [
  ...fleetMessages,
  ...allowanceMessages,
  ...budgetMessages,
  ...configMessages,
  ...planMessages,
  ...requestMessages,
  ...routeMessages,
  ...telemetryMessages,
]);

/** Body of a peer message. */
export type PeerMessage = z.infer<typeof peerMessageSchema>;

/** Type of a peer message. */
export type PeerMessageType = PeerMessage['type'];

/** Peer message of the given type. */
export type PeerMessageOf<Type extends PeerMessageType> = Extract<
  PeerMessage,
  { readonly type: Type }
>;
