/**
 * The faces that the entry's controllers show each other. A controller owns its state and its
 * sockets; the others see these read-only views, streams of changes and messages.
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

/** Who this process is. */
export interface EntryIdentity {
  readonly entry: EntryName;
  readonly incarnation: Incarnation;
  readonly region: RegionName;
  readonly failureDomain: FailureDomainName;
}

/** What every controller and filter is given. */
export interface EntryContext {
  readonly identity: EntryIdentity;
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventSink;
  readonly platform: PlatformPorts;
}

/** A reconcile loop over one kind of state. */
export interface Controller {
  readonly name: string;
  start(): Promise<void>;
  stop(): Promise<void>;
}

/** Sends to and hears from the other entries. Delivery is best effort. */
export interface Mesh {
  send(to: EntryName, message: MeshMessage): void;
  broadcast(message: MeshMessage): void;
  readonly deliveries: Observable<MeshDelivery>;
  /** Entries with a live, heard-from connection. */
  listConnected(): readonly EntryName[];
}

/** One registered entry as this entry sees it. */
export interface Member {
  readonly entry: EntryName;
  readonly row: EntryRow;
  readonly connected: boolean;
  readonly self: boolean;
}

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

export interface ConfigurationView {
  current(): ActiveConfiguration | undefined;
  readonly changes: Observable<ActiveConfiguration>;
  /** Age of the last confirmation that the current version is the accepted one. */
  confirmedAgeMs(): number;
  isFresh(): boolean;
}

export interface FailureDomainStatus {
  readonly failureDomain: FailureDomainName;
  readonly state: FailureDomainState;
  readonly version: number;
  readonly provisional: boolean;
}

export interface FailureDomainView {
  get(failureDomain: FailureDomainName): FailureDomainStatus;
  list(): readonly FailureDomainStatus[];
  readonly changes: Observable<FailureDomainStatus>;
}

/** A failure domain that this entry owns. */
export interface OwnedDomain {
  readonly failureDomain: FailureDomainName;
  readonly epoch: number;
}

export type OwnershipChange =
  | { readonly kind: "gained"; readonly owned: OwnedDomain }
  | { readonly kind: "lost"; readonly owned: OwnedDomain };

export interface OwnershipView {
  listOwned(): readonly OwnedDomain[];
  /** Checked right before every externally visible act: the process may have been paused. */
  mayAct(owned: OwnedDomain): boolean;
  getOwner(failureDomain: FailureDomainName): EntryName | undefined;
  readonly changes: Observable<OwnershipChange>;
}

/** A caller's request after identification, authorisation and limits. */
export interface JobSubmission {
  readonly organisation: OrganisationName;
  readonly requestId: RequestId;
  readonly service: ServiceName;
  readonly bodyDigest: Digest;
  readonly payload: string;
}

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

/** What a caller may know of its job. */
export interface JobStatus {
  readonly jobId: JobId;
  readonly state: JobState;
  readonly failureDomain: FailureDomainName;
  readonly resultName?: ResultName;
  readonly answer?: Uint8Array;
  /** Known only on the entry that owns the failure domain. */
  readonly waitReason?: WaitReason;
}

export type JobLookup =
  | { readonly kind: "found"; readonly status: JobStatus }
  | { readonly kind: "absent" }
  | { readonly kind: "unavailable"; readonly resultName: ResultName };

/** Jobs as the request filters use them. */
export interface JobOperations {
  submit(submission: JobSubmission): Promise<JobSubmitOutcome>;
  get(organisation: OrganisationName, requestId: RequestId): Promise<JobLookup>;
  cancel(
    organisation: OrganisationName,
    requestId: RequestId,
  ): Promise<JobLookup>;
  /** Resolves when the job has ended or `timeoutMs` has passed, whichever is first. */
  waitForEnd(
    organisation: OrganisationName,
    requestId: RequestId,
    timeoutMs: number,
  ): Promise<JobLookup>;
}

/** Latest summary heard from the owner of a failure domain. */
export interface DomainSummaries {
  get(failureDomain: FailureDomainName): DomainSummary | undefined;
}
