/** Messages between daemons of the route aggregate. */
/** Schemas of the messages. */
export const routeMessages = [];
//# sourceMappingURL=messages.js.map