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

/** Shares that the connections of callers may use. */
const CALLER_SHARE = {
  DESCRIPTORS: 1 / 2,
  CONNECTION_MEMORY: 1 / 4,
  UNPARSED_MEMORY: 1 / 24,
  BODY_MEMORY: 1 / 12,
} as const;
/** Shares that those of peers may use, which wait for their own answers. */
const PEER_SHARE = {
  DESCRIPTORS: 1 / 8,
  UNPARSED_MEMORY: 1 / 48,
  BODY_MEMORY: 1 / 16,
} as const;

export function deriveCallerLimits(
  { memoryBytes, descriptors }: MachineLimits,
): ConnectionLimits {
  const connections = Math.min(
    descriptors * CALLER_SHARE.DESCRIPTORS,
    memoryBytes * CALLER_SHARE.CONNECTION_MEMORY / CONNECTION_BYTES,
  );
  return {
    connections: Math.max(1, Math.floor(connections)),
    unparsedBytes: Math.floor(memoryBytes * CALLER_SHARE.UNPARSED_MEMORY),
    bodyBytes: Math.floor(memoryBytes * CALLER_SHARE.BODY_MEMORY),
  };
}

export function derivePeerLimits(
  { memoryBytes, descriptors }: MachineLimits,
): ConnectionLimits {
  const connections = descriptors * PEER_SHARE.DESCRIPTORS;
  return {
    connections: Math.max(1, Math.floor(connections)),
    unparsedBytes: Math.floor(memoryBytes * PEER_SHARE.UNPARSED_MEMORY),
    bodyBytes: Math.floor(memoryBytes * PEER_SHARE.BODY_MEMORY),
  };
}

/** Of a server for checks and scrapes: few connections, and requests without bodies. */
export const CHECK_LIMITS: ConnectionLimits = {
  connections: 64,
  unparsedBytes: 1_048_576,
  bodyBytes: 0,
};
