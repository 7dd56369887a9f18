/**
 * What the connections of one server may hold, derived from the machine's memory and descriptors.
 * The heap, workers, peers, the store and files need the rest.
 */

/** What one process may use in all. */
export interface MachineLimits {
  readonly memoryBytes: number;
  readonly descriptors: number;
}

export interface ConnectionLimits {
  readonly connections: number;
  /** Bytes that were read from connections and wait for their turn, over all connections. */
  readonly unparsedBytes: number;
  /** Bodies that arrive or whose requests are in progress, over all connections. */
  readonly bodyBytes: number;
}

/**
 * Memory of a connection whose client sends all it can: its objects, and the kernel's receive queue,
 * whose window is 64 KiB at first and grows with what was read from it.
 */
const CONNECTION_BYTES = 131_072;

/** Shares of a machine that the connections of one server may use. */
export interface ConnectionShares {
  readonly memory: number;
  readonly descriptors: number;
}

/** Shares of callers. A quarter of the memory is for connections, an eighth for bodies. */
export const CALLER_SHARES: ConnectionShares = {
  memory: 0.375,
  descriptors: 0.5,
};
/** Shares of peers, which send up to 1 MiB at a time over a few connections each. */
export const PEER_SHARES: ConnectionShares = {
  memory: 0.09375,
  descriptors: 0.125,
};

/** Two thirds of the memory share are for connections, a third for bodies and unparsed bytes. */
export function deriveConnectionLimits(
  { memoryBytes, descriptors }: MachineLimits,
  shares: ConnectionShares,
): ConnectionLimits {
  const shareBytes = memoryBytes * shares.memory;
  return {
    connections: Math.max(
      1,
      Math.floor(Math.min(
        descriptors * shares.descriptors,
        shareBytes * 2 / 3 / CONNECTION_BYTES,
      )),
    ),
    unparsedBytes: Math.floor(shareBytes / 9),
    bodyBytes: Math.floor(shareBytes * 2 / 9),
  };
}
