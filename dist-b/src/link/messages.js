/** Every message between daemons, composed from the aggregates. */
import { z } from 'zod';
import { budgetMessages } from '../budget/messages.js';
import { configMessages } from '../config/messages.js';
import { fleetMessages } from '../fleet/messages.js';
import { planMessages } from '../plan/messages.js';
import { requestMessages } from '../request/messages.js';
import { routeMessages } from '../route/messages.js';
/** Schema of the body of a peer message. */
export const peerMessageSchema = z.discriminatedUnion('type', [
    ...fleetMessages,
    ...budgetMessages,
    ...configMessages,
    ...planMessages,
    ...requestMessages,
    ...routeMessages,
]);
//# sourceMappingURL=messages.js.map