/** Unit conversions shared by every aggregate. */

/** Milliseconds in one second. */
export const SECOND_MS = 1_000;

/** Milliseconds in one minute. */
export const MINUTE_MS = 60 * SECOND_MS;

/** Bytes in one kibibyte. */
export const KIB_BYTES = 1_024;

/** Bytes in one megabyte. */
export const MEGABYTE_BYTES = 1_000_000;

/** Bytes in one mebibyte. */
export const MIB_BYTES = 1_024 * KIB_BYTES;
