/** Settings of one entry of the cell's scheduler, decoded from its settings file. */
import type { FailureDomainName } from "@coltsfootpond/common";

/** Time bounds that the deployment fixes. */
export interface CellBounds {
  /** Longest lease that an entry may grant on a worker. */
  readonly leaseMaximumMs: number;
  /** Longest time from a worker's acknowledgement of a stop to the end of the task. */
  readonly stopLimitMs: number;
  /** Time that a graceful stop of the entry may take. */
  readonly shutdownGraceMs: number;
  /** How long callers must be able to query an ended job's state. */
  readonly endedJobRetentionMs: number;
}

/** Settings of one entry. Addresses are those it listens on, except `seeds` and `storeAddress`. */
export interface CellSettings {
  readonly entry: string;
  readonly failureDomain: FailureDomainName;
  readonly callerAddress: HostPort;
  readonly readiness: HostPort;
  /** Undefined when the entry takes no requests from peers. */
  readonly peerAddress: HostPort | undefined;
  /** Peer addresses that are used in addition to those announced in the store. */
  readonly seeds: readonly HostPort[];
  readonly storeAddress: HostPort;
  /** Processor available to this entry, in cores of the reference speed. */
  readonly processorShare: number;
  /** Period in which workers update their records. */
  readonly workerHeartbeatMs: number;
  readonly bounds: CellBounds;
}

/** A TCP address. */
export interface HostPort {
  readonly host: string;
  readonly port: number;
}
