/** Constants of the platform ports. */

export const DEFAULT_CALL_TIMEOUT_MS = 2_000;
export const MAXIMUM_RESPONSE_BYTES = 64 * 1_048_576;
