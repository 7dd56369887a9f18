/**
 * Messages between entries, as one discriminated union. The state on which entries must agree is
 * in the table service; messages only shorten the delay until it is read. During a cluster-wide
 * outage of the table service, entries rely on heartbeats and provisional changes instead.
 */
import type {
  EntryName,
  FailureDomainName,
  Incarnation,
  JobId,
} from "@coltsfootpond/common";
import type {
  ReadOutcome,
  TableTransaction,
  TransactionOutcome,
} from "@coltsfootpond/ports";
import type { DomainSummary } from "@coltsfootpond/policy";
import type { FailureDomainState } from "../rows.ts";

export type MeshMessage =
  /** Heartbeat with the state of the sender. */
  | {
    readonly kind: "heartbeat";
    readonly sequence: number;
    /** Version of the configuration that is in force on the sender. */
    readonly configurationVersion: number;
    /** Age of the sender's last confirmation that this is the accepted version. */
    readonly configurationAgeMs: number;
    /**
     * False commits the sender to take no ownership before it has again observed the owner's row
     * for a full lease. It is sent when the last poll of the table service failed and no write by
     * which the sender takes an ownership is unsettled.
     */
    readonly tableReachable: boolean;
    /** The failure domains that the sender owns. */
    readonly holdings: readonly ReportedOwnedDomain[];
    /** Whether the sender is stopping; it then gains no further ownership. */
    readonly leaving: boolean;
    /** Version of the member index that the sender last read; 0 before the first read. */
    readonly membersVersion: number;
    /** Digest of the sender's failure domain records. */
    readonly factsDigest: number;
    /** Whether the sender has contacted every member, and may therefore take ownership. */
    readonly settled: boolean;
  }
  | { readonly kind: "configuration_accepted"; readonly version: number }
  | {
    readonly kind: "domain_changed";
    readonly failureDomain: FailureDomainName;
    readonly state: FailureDomainState;
    readonly version: number;
    /** True while the change is not stored in the table service. */
    readonly provisional: boolean;
  }
  | {
    readonly kind: "domain_acknowledged";
    readonly failureDomain: FailureDomainName;
    readonly version: number;
  }
  | {
    readonly kind: "domain_summary";
    readonly failureDomain: FailureDomainName;
    readonly epoch: number;
    readonly summary: DomainSummary;
  }
  | {
    readonly kind: "ownership_released";
    readonly failureDomain: FailureDomainName;
    readonly epoch: number;
  }
  | {
    readonly kind: "job_submitted";
    readonly failureDomain: FailureDomainName;
    readonly jobId: JobId;
  }
  | {
    readonly kind: "job_cancelled";
    readonly failureDomain: FailureDomainName;
    readonly jobId: JobId;
  }
  /** Acknowledges `job_submitted` or `job_cancelled`. */
  | { readonly kind: "notice_acknowledged"; readonly jobId: JobId }
  | {
    readonly kind: "job_ended";
    readonly failureDomain: FailureDomainName;
    readonly jobId: JobId;
  }
  | {
    readonly kind: "relay_request";
    readonly relayId: number;
    readonly operation: RelayOperation;
  }
  | {
    readonly kind: "relay_reply";
    readonly relayId: number;
    readonly outcome: TransactionOutcome | ReadOutcome;
  };

/** A failure domain that the sender owns, and its epoch as the owner. */
export interface ReportedOwnedDomain {
  readonly failureDomain: FailureDomainName;
  readonly epoch: number;
}

/** A table call that is relayed for a peer that cannot reach the table service itself. */
export type RelayOperation =
  | { readonly kind: "transact"; readonly transaction: TableTransaction }
  | { readonly kind: "read"; readonly keys: readonly string[] }
  | { readonly kind: "scan"; readonly prefix: string };

/** One message as received; `incarnation` is the sender's. */
export interface MeshDelivery {
  readonly from: EntryName;
  readonly incarnation: Incarnation;
  readonly message: MeshMessage;
}
