/** Constants that clients of the platform's services share. */

/** Time-out of a call to the platform. */
export const DEFAULT_CALL_TIMEOUT_MS = 2_000;
/** A client aborts a larger response. */
export const MAXIMUM_RESPONSE_BYTES = 64 * 1_048_576;
/**
 * Time beyond its time-out for which the bytes of a large response may keep arriving: that of 1 MB,
 * the largest response of the store in the platform's protocol, over a link of 4 Mbit/s.
 */
export const LARGE_RESPONSE_EXTRA_MS = 2_000;
