/** What one entry learns from its settings file. */
import type { FailureDomainName } from "@coltsfootpond/common";

/** Bounds that the deployment fixes. */
export interface CellBounds {
  readonly leaseMaximumMs: number;
  readonly stopLimitMs: number;
  readonly shutdownGraceMs: number;
  /** For which an ended job's state must be known. */
  readonly endedJobRetentionMs: number;
}

/** What one entry learns from its settings file. */
export interface CellSettings {
  readonly entry: string;
  readonly failureDomain: FailureDomainName;
  readonly callerAddress: HostPort;
  readonly readiness: HostPort;
  readonly peerAddress: HostPort | undefined;
  readonly seeds: readonly HostPort[];
  readonly storeAddress: HostPort;
  readonly processorShare: number;
  readonly workerHeartbeatMs: number;
  readonly bounds: CellBounds;
}

export interface HostPort {
  readonly host: string;
  readonly port: number;
}
