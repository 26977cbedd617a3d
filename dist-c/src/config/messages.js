/** Messages between daemons of the config aggregate. */
/** Schemas of the messages. */
export const configMessages = [];
//# sourceMappingURL=messages.js.map