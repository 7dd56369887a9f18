/**
 * Types of the upstream pool: load reports, requests to runners and outcomes of exchanges. An
 * exchange is one request to a runner and its reply.
 */
import type {
  AttemptId,
  ResultName,
  RunnerName,
  ValueOf,
} from "@coltsfootpond/common";

/** Load that a runner reports in the headers of a reply. */
export interface LoadReport {
  readonly slotsInUse: number;
  readonly slots: number;
  /** The runner accepts no new work. */
  readonly leaving: boolean;
}

/** Why an exchange failed; decides how it counts for the runner's health. */
export const FAILURE_CAUSE = {
  /** The deadline passed or the caller cancelled; not a failure of the runner. */
  NONE: "none",
  /** The runner had no free slot. */
  FULL: "full",
  UNREACHABLE: "unreachable",
  /** No progress in time: the connection or the runner does not respond. */
  SILENT: "silent",
  /** Any other failure: an open connection broke, or the reply is an error or unusable. */
  FAILURE: "failure",
} as const;
export type FailureCause = ValueOf<typeof FAILURE_CAUSE>;

/** A request to a runner, for one attempt. */
export interface UpstreamRequest {
  readonly attemptId: AttemptId;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly idempotent: boolean;
  /** The longest time without progress on an open connection. */
  readonly progressTimeoutMs: number;
  /** Clock time at which the exchange is given up. */
  readonly deadlineMs: number;
  readonly signal: AbortSignal | undefined;
}

/** How an exchange ended. `answered` has the complete body of the reply to this attempt. */
export type UpstreamOutcome =
  | {
    readonly kind: "answered";
    readonly status: number;
    readonly contentType: string;
    readonly body: Uint8Array;
    readonly report?: LoadReport;
  }
  | {
    readonly kind: "failed";
    readonly resultName: ResultName;
    readonly detail: string;
    readonly cause: FailureCause;
    readonly report?: LoadReport;
  };

/** Load and slots of a runner, from which a balancing policy chooses. */
export interface RunnerCandidate {
  readonly runner: RunnerName;
  /** Attempts of this entry in progress on the runner. */
  readonly inUse: number;
  /** Slots in this entry's share. */
  readonly share: number;
  /** All slots of the runner, reduced for a while after an ejection. */
  readonly slots: number;
  /** Slots that other entries used at the runner's last report; undefined without a report. */
  readonly othersInUse?: number;
  /** False for a while after the runner refused this entry for lack of a slot. */
  readonly mayBorrow: boolean;
  readonly reportAgeMs: number;
}
