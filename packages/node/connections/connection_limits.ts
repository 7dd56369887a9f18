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
}

/** The caller's share of the memory for bytes that wait for their turn. */
const CALLER_UNPARSED_SHARE = 0.04;

export function deriveCallerLimits(
  { memoryBytes }: MachineLimits,
): ConnectionLimits {
  return { unparsedBytes: Math.floor(memoryBytes * CALLER_UNPARSED_SHARE) };
}
