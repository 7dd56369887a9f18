/** Constants that clients of the platform's services share. */

/** Time-out of a call to the platform. */
export const DEFAULT_CALL_TIMEOUT_MS = 2_000;
/** Size above which a client aborts a response. */
export const MAXIMUM_RESPONSE_BYTES = 64 * 1_048_576;
/**
 * Added to a call's time-out to bound the whole exchange while bytes of a large response keep
 * arriving: the time that 1 MB, the largest response of the store in the platform's protocol, takes
 * over a link of 4 Mbit/s.
 */
export const LARGE_RESPONSE_EXTRA_MS = 2_000;
