/** Messages between daemons of the plan aggregate. */

/** Schemas of the messages. */
export const planMessages = [] as const;
