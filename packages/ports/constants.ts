/** Constants of the platform ports. */

export const DEFAULT_CALL_TIMEOUT_MS = 2_000;
export const MAXIMUM_RESPONSE_BYTES = 64 * 1_048_576;
/**
 * How much longer than its time-out a large answer may take whose bytes keep coming: 1 MB, the most
 * that one answer of the store holds (the users' protocol), over a link of 4 Mbit/s.
 */
export const LARGE_ANSWER_EXTRA_MS = 2_000;
