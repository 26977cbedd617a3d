/** Every message between daemons, composed from the aggregates. */
import { z } from 'zod';

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
  ...budgetMessages,
  ...configMessages,
  ...planMessages,
  ...requestMessages,
  ...routeMessages,
  ...telemetryMessages,
]);

/** Body of a peer message. */
export type PeerMessage = z.infer<typeof peerMessageSchema>;

/** Discriminates peer messages. */
export type PeerMessageType = PeerMessage['type'];

/** The peer message of one type. */
export type PeerMessageOf<Type extends PeerMessageType> = Extract<
  PeerMessage,
  { readonly type: Type }
>;
