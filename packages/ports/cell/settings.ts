/** Settings of one entry of the cell's scheduler, decoded from its settings file. */
import type { FailureDomainName } from "@coltsfootpond/common";

/** Time bounds that the deployment fixes. */
export interface CellBounds {
  /** Longest lease that the scheduler may grant a task run on a worker. */
  readonly leaseMaximumMs: number;
  /** Longest time from a worker's acknowledgement of a stop to the end of the task. */
  readonly stopLimitMs: number;
  /** Time that a graceful stop of the entry may take. */
  readonly shutdownGraceMs: number;
  /** How long after its end callers must be able to query a job's state. */
  readonly endedJobRetentionMs: number;
}

/** Settings of one entry. Addresses are those it listens on, except `seeds` and `storeAddress`. */
export interface CellSettings {
  readonly entry: string;
  readonly failureDomain: FailureDomainName;
  /** For the requests of callers, which submit and query jobs. */
  readonly callerAddress: HostPort;
  /** For the load balancer's readiness check. */
  readonly readiness: HostPort;
  /** Undefined when the entry takes no requests from peers. */
  readonly peerAddress: HostPort | undefined;
  /** Peer addresses that are used in addition to those announced in the store. */
  readonly seeds: readonly HostPort[];
  readonly storeAddress: HostPort;
  /** The store's limit of the value of a row. */
  readonly rowLimitBytes: number;
  /** The store's limit of reads, for all entries together. */
  readonly storeReadsPerSecond: number;
  /** Memory and descriptors that this entry's process may use. */
  readonly memoryBytes: number;
  readonly descriptors: number;
  /** Processor capacity of this entry, in cores of the reference speed. */
  readonly processorShare: number;
  /** Period of the workers' heartbeats, with which they update their records in the store. */
  readonly workerHeartbeatMs: number;
  readonly bounds: CellBounds;
}

/** A TCP address. */
export interface HostPort {
  readonly host: string;
  readonly port: number;
}
