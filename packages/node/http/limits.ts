/** Bounds on what one HTTP server takes from its clients. */

/** Limits of a server. */
export interface HttpLimits {
  readonly maximumBodyBytes: number;
  readonly maximumHeaderBytes: number;
  readonly maximumHeaders: number;
  readonly maximumConnections: number;
  readonly maximumRequestsInProgress: number;
  /** The request line and headers must be whole within this time. */
  readonly headersTimeoutMs: number;
  /** The whole request must be in within this time. */
  readonly requestTimeoutMs: number;
  readonly keepAliveTimeoutMs: number;
  /** A reply that the client does not take in for this long is cut off. */
  readonly slowReaderTimeoutMs: number;
}

export const DEFAULT_HTTP_LIMITS: HttpLimits = {
  maximumBodyBytes: 16 * 1_048_576,
  maximumHeaderBytes: 16_384,
  maximumHeaders: 64,
  maximumConnections: 2_048,
  maximumRequestsInProgress: 4_096,
  headersTimeoutMs: 10_000,
  requestTimeoutMs: 60_000,
  keepAliveTimeoutMs: 30_000,
  slowReaderTimeoutMs: 30_000,
};
