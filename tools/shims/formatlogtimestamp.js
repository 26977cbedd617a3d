/** Replaces Nest's formatter of log times, which creates a date formatter when it is imported. */

/**
 * Formats the current time.
 * @returns the time in ISO 8601
 */
export function formatLogTimestamp() {
  return new Date().toISOString();
}
