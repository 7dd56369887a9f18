/**
 * Messages between entries, one discriminated union. None of them is an authority: what must be
 * agreed is read from the table service; messages only make it known sooner.
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
  /** Heartbeat; also tells how fresh the sender's view of the configuration head is. */
  | {
    readonly kind: "heartbeat";
    readonly sequence: number;
    readonly configurationVersion: number;
    /** Age of the sender's last confirmation of the head. */
    readonly configurationAgeMs: number;
    /**
     * False is a promise: the sender's last poll of the table service failed, no ownership that it
     * asked for is unsettled, and it takes none before it has watched a full term again.
     */
    readonly tableReachable: boolean;
    /** The failure domains that the sender holds. */
    readonly holdings: readonly ReportedOwnedDomain[];
    readonly leaving: boolean;
    /** Version of the row of members that the sender last read; 0 before the first read. */
    readonly membersVersion: number;
    /** Digest of what the sender holds to be so of the failure domains. */
    readonly factsDigest: number;
    /** Whether the sender has met every member, and may therefore take ownerships. */
    readonly settled: boolean;
  }
  | { readonly kind: "configuration_accepted"; readonly version: number }
  | {
    readonly kind: "domain_changed";
    readonly failureDomain: FailureDomainName;
    readonly state: FailureDomainState;
    readonly version: number;
    /** Not yet in the table service. */
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

/** A failure domain and the epoch under which it is held. */
export interface ReportedOwnedDomain {
  readonly failureDomain: FailureDomainName;
  readonly epoch: number;
}

/** A table call made for a peer that cannot reach the table service itself. */
export type RelayOperation =
  | { readonly kind: "transact"; readonly transaction: TableTransaction }
  | { readonly kind: "read"; readonly keys: readonly string[] }
  | { readonly kind: "scan"; readonly prefix: string };

/** One message as received. */
export interface MeshDelivery {
  readonly from: EntryName;
  readonly incarnation: Incarnation;
  readonly message: MeshMessage;
}
