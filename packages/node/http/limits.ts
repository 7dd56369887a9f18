/** Limits on sizes, counts and times of the requests to one HTTP server. */

export interface HttpLimits {
  readonly maximumBodyBytes: number;
  readonly maximumHeaderBytes: number;
  readonly maximumHeaders: number;
  readonly maximumConnections: number;
  readonly maximumRequestsInProgress: number;
  /** Time in which the request line and all headers must arrive. */
  readonly headersTimeoutMs: number;
  /** Time in which the complete request must arrive. */
  readonly requestTimeoutMs: number;
  readonly keepAliveTimeoutMs: number;
  /** The connection is closed when the client has not read the reply after this time. */
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
