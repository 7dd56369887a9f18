/**
 * Interfaces between the entry's controllers. A controller keeps its state and sockets private; the
 * others use these read-only views, streams of changes and messages.
 */
import type {
  Clock,
  Declarations,
  Digest,
  EntryName,
  EventSink,
  FailureDomainName,
  Incarnation,
  JobId,
  OrganisationName,
  Random,
  RegionName,
  RequestId,
  ResultName,
  ServiceName,
} from "@coltsfootpond/common";
import type { PlatformPorts } from "@coltsfootpond/ports";
import type { DomainSummary, WaitReason } from "@coltsfootpond/policy";
import type { Observable } from "rxjs";
import type { MeshDelivery, MeshMessage } from "./mesh/messages.ts";
import type {
  ConfigurationHead,
  EntryRow,
  FailureDomainState,
  JobState,
} from "./rows.ts";

/** Identity of this process; `incarnation` differs after every start. */
export interface EntryIdentity {
  readonly entry: EntryName;
  readonly incarnation: Incarnation;
  readonly region: RegionName;
  readonly failureDomain: FailureDomainName;
}

/** Dependencies of every controller and filter. */
export interface EntryContext {
  readonly identity: EntryIdentity;
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventSink;
  readonly platform: PlatformPorts;
}

/** A part of the entry with its own loop over one kind of state. */
export interface Controller {
  readonly name: string;
  start(): Promise<void>;
  stop(): Promise<void>;
}

/** Messages between entries. Delivery is best effort: messages may be lost. */
export interface Mesh {
  send(to: EntryName, message: MeshMessage): void;
  broadcast(message: MeshMessage): void;
  readonly deliveries: Observable<MeshDelivery>;
  /** Peers with an open connection on which a message was received lately. */
  listConnected(): readonly EntryName[];
}

/** A registered entry, with its row as this entry last read it. */
export interface Member {
  readonly entry: EntryName;
  readonly row: EntryRow;
  readonly connected: boolean;
  readonly self: boolean;
}

/** The members, this entry included. */
export interface MembershipView {
  list(): readonly Member[];
  readonly changes: Observable<readonly Member[]>;
}

/** The configuration in force on this entry. */
export interface ActiveConfiguration {
  readonly version: number;
  readonly head: ConfigurationHead;
  readonly declarations: Declarations;
}

/** Read access to the configuration in force. */
export interface ConfigurationView {
  current(): ActiveConfiguration | undefined;
  readonly changes: Observable<ActiveConfiguration>;
  /** Milliseconds since the version in force was last confirmed as the accepted one. */
  confirmedAgeMs(): number;
  /** False when a newer configuration may exist; then nothing new is started. */
  isFresh(): boolean;
}

/** Whether a failure domain is in service, as of `version`. */
export interface FailureDomainStatus {
  readonly failureDomain: FailureDomainName;
  readonly state: FailureDomainState;
  readonly version: number;
  /** Applied by entries but not yet stored in the table service. */
  readonly provisional: boolean;
}

/** Read access to the states of all declared failure domains. */
export interface FailureDomainView {
  get(failureDomain: FailureDomainName): FailureDomainStatus;
  list(): readonly FailureDomainStatus[];
  readonly changes: Observable<FailureDomainStatus>;
}

/** A failure domain that this entry owns, under the epoch of its ownership. */
export interface OwnedDomain {
  readonly failureDomain: FailureDomainName;
  readonly epoch: number;
}

export type OwnershipChange =
  | { readonly kind: "gained"; readonly owned: OwnedDomain }
  | { readonly kind: "lost"; readonly owned: OwnedDomain };

/** Read access to the ownership of failure domains. */
export interface OwnershipView {
  listOwned(): readonly OwnedDomain[];
  /** Check right before every command or write: the lease may have expired during a pause. */
  mayAct(owned: OwnedDomain): boolean;
  getOwner(failureDomain: FailureDomainName): EntryName | undefined;
  readonly changes: Observable<OwnershipChange>;
}

/** A caller's request for a job service, after identification, authorisation and limits. */
export interface JobSubmission {
  readonly organisation: OrganisationName;
  readonly requestId: RequestId;
  readonly service: ServiceName;
  readonly bodyDigest: Digest;
  readonly payload: string;
}

/** The queued job, or why it was not accepted; `retryAfterMs` when a retry may succeed. */
export type JobSubmitOutcome =
  | {
    readonly kind: "accepted";
    readonly jobId: JobId;
    readonly failureDomain: FailureDomainName;
  }
  | {
    readonly kind: "refused";
    readonly resultName: ResultName;
    readonly detail?: string;
    readonly retryAfterMs?: number;
  };

/** State of a job as its caller may read it. */
export interface JobStatus {
  readonly jobId: JobId;
  readonly state: JobState;
  readonly failureDomain: FailureDomainName;
  readonly resultName?: ResultName;
  readonly answer?: Uint8Array;
  /** Set only on the entry that owns the failure domain. */
  readonly waitReason?: WaitReason;
}

export type JobLookup =
  | { readonly kind: "found"; readonly status: JobStatus }
  | { readonly kind: "absent" }
  | { readonly kind: "unavailable"; readonly resultName: ResultName };

/** Operations on jobs for callers and operators; implemented by `JobApi`. */
export interface JobOperations {
  submit(submission: JobSubmission): Promise<JobSubmitOutcome>;
  get(organisation: OrganisationName, requestId: RequestId): Promise<JobLookup>;
  cancel(
    organisation: OrganisationName,
    requestId: RequestId,
  ): Promise<JobLookup>;
  /** Resolves when the job has ended, or with its state after `timeoutMs`. */
  waitForEnd(
    organisation: OrganisationName,
    requestId: RequestId,
    timeoutMs: number,
  ): Promise<JobLookup>;
}

/** The latest summary received from the owner of each failure domain. */
export interface DomainSummaries {
  get(failureDomain: FailureDomainName): DomainSummary | undefined;
}
