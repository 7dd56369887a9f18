/**
 * What the connections of one server may hold, derived from the machine's memory and descriptors.
 * The heap, workers, peers, the store and files need the rest.
 */

/** What one process may use in all. */
export interface MachineLimits {
  readonly memoryBytes: number;
}

export interface ConnectionLimits {
  /** Bytes that were read from connections and wait for their turn, over all connections. */
  readonly unparsedBytes: number;
  /** Bodies that arrive or whose requests are in progress, over all connections. */
  readonly bodyBytes: number;
}

/** The callers' shares of the memory. */
const CALLER_UNPARSED_SHARE = 0.04;
const CALLER_BODY_SHARE = 0.08;

export function deriveCallerLimits(
  { memoryBytes }: MachineLimits,
): ConnectionLimits {
  return {
    unparsedBytes: Math.floor(memoryBytes * CALLER_UNPARSED_SHARE),
    bodyBytes: Math.floor(memoryBytes * CALLER_BODY_SHARE),
  };
}
