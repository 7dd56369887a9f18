/** Keys and values of the rows that entries store in the table service. */
import type {
  AttemptId,
  Digest,
  EntryName,
  FailureDomainName,
  Incarnation,
  JobId,
  OrganisationName,
  RequestId,
  ResultName,
  ServiceName,
  ValueOf,
} from "@coltsfootpond/common";
import type { Assignment } from "@coltsfootpond/policy";

export const CONFIGURATION_HEAD_KEY = "config/head";

/** `config/head`: the accepted configuration. Its version only rises. */
export interface ConfigurationHeadRow {
  readonly version: number;
  /** Digest of the list of chunks, which is in the object store to keep this polled row small. */
  readonly digest: Digest;
  readonly acceptedBy: EntryName;
}

/** The accepted configuration with its list of chunks. */
export interface ConfigurationHead extends ConfigurationHeadRow {
  readonly chunks: readonly ConfigurationChunk[];
}

/** One declaration file, stored in the object store under its digest. */
export interface ConfigurationChunk {
  readonly name: string;
  readonly digest: Digest;
}

export const FAILURE_DOMAIN_STATE = { IN: "in", OUT: "out" } as const;
export type FailureDomainState = ValueOf<typeof FAILURE_DOMAIN_STATE>;

/** `domain/{name}`: whether operators have taken the failure domain out of service. */
export interface FailureDomainRow {
  readonly state: FailureDomainState;
  /** Rises by one with every accepted change; a lower version never replaces a higher one. */
  readonly version: number;
}

export const MEMBER_INDEX_KEY = "members";

/** `members`: the names of all members, so that entries need not scan for their rows. */
export interface MemberIndexRow {
  readonly entries: readonly EntryName[];
}

/** `entry/{name}`: one member. `beat` is its renewal counter. */
export interface EntryRow {
  readonly incarnation: Incarnation;
  readonly host: string;
  readonly httpPort: number;
  readonly meshPort: number;
  readonly region: string;
  readonly state: "live" | "leaving";
  readonly beat: number;
}

/**
 * `owner/{failureDomain}`: the entry that schedules the jobs of the failure domain. `epoch` rises
 * with each change of owner; `beat` is the renewal counter.
 */
export interface OwnerRow {
  readonly entry: EntryName;
  readonly incarnation: Incarnation;
  readonly epoch: number;
  readonly beat: number;
  /** Released by its owner, so another entry may take it without waiting for its expiry. */
  readonly released: boolean;
}

export const JOB_STATE = {
  QUEUED: "queued",
  PLACING: "placing",
  RUNNING: "running",
  ANSWERED: "answered",
  FAILED: "failed",
  CANCELLED: "cancelled",
} as const;
export type JobState = ValueOf<typeof JOB_STATE>;

/**
 * `job/{failureDomain}/{jobId}`: one job that has not ended. The transaction that records the job's
 * end deletes the row, so a scan of a failure domain reads only live jobs.
 */
export interface JobRow {
  readonly jobId: JobId;
  readonly organisation: OrganisationName;
  readonly requestId: RequestId;
  readonly service: ServiceName;
  readonly bodyDigest: Digest;
  readonly payload: string;
  readonly state: "queued" | "running";
  readonly attempts: number;
  readonly failures: number;
  readonly attemptId?: AttemptId;
  readonly assignments?: readonly Assignment[];
  /** How often the waiting job was moved to another failure domain. */
  readonly moves: number;
  /** Checkpoints of all tasks of the gang, in order of task index. */
  readonly checkpoints?: readonly string[];
  /** How long the job had waited when the row was last written. */
  readonly waitedMs: number;
}

/** How a job ended. */
export interface JobEnd {
  readonly state: "answered" | "failed" | "cancelled";
  readonly resultName: ResultName;
  readonly answer?: AnswerReference;
}

/** A complete answer in the object store. */
export interface AnswerReference {
  readonly objectKey: string;
  readonly lengthBytes: number;
  readonly digest: Digest;
}

/** `request/{organisation}/{requestId}`: state of a request under the id that its caller chose. */
export type RequestRow =
  | {
    readonly kind: "job";
    readonly service: ServiceName;
    readonly bodyDigest: Digest;
    readonly failureDomain: FailureDomainName;
    /** Absent while the job has not ended. */
    readonly end?: JobEnd;
  }
  | {
    readonly kind: "call";
    readonly service: ServiceName;
    readonly bodyDigest: Digest;
    readonly attemptId: AttemptId;
    readonly state: "attempting" | "answered" | "not_run" | "unknown";
    readonly answer?: AnswerReference;
    readonly answerStatus?: number;
    readonly answerContentType?: string;
    /** Set when the call was not run or its outcome is unknown. */
    readonly resultName?: ResultName;
  };

export function getDomainKey(failureDomain: FailureDomainName): string {
  return `domain/${failureDomain}`;
}

export function getEntryKey(entry: EntryName): string {
  return `entry/${entry}`;
}

export function getOwnerKey(failureDomain: FailureDomainName): string {
  return `owner/${failureDomain}`;
}

/** Key of a row whose change makes the owner read all jobs of the failure domain. */
export function getQueueKey(failureDomain: FailureDomainName): string {
  return `queue/${failureDomain}`;
}

export function getJobPrefix(failureDomain: FailureDomainName): string {
  return `job/${failureDomain}/`;
}

export function getJobKey(
  failureDomain: FailureDomainName,
  jobId: JobId,
): string {
  return `${getJobPrefix(failureDomain)}${jobId}`;
}

export function getRequestKey(
  organisation: OrganisationName,
  requestId: RequestId,
): string {
  return `request/${organisation}/${requestId}`;
}
