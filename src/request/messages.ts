/** Messages between daemons of the request aggregate. */

/** Schemas of the messages. */
export const requestMessages = [] as const;
