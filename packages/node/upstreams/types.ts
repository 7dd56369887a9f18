/** Types of the upstream pool: what a runner reports, and how one exchange with it can end. */
import type {
  AttemptId,
  ResultName,
  RunnerName,
  ValueOf,
} from "@coltsfootpond/common";

/** What a runner says of itself with a reply. */
export interface LoadReport {
  readonly slotsInUse: number;
  readonly slots: number;
  /** It wants no new work. */
  readonly leaving: boolean;
}

/** What a failed exchange says of the runner. */
export const FAILURE_CAUSE = {
  /** The caller's deadline or departure ended it. */
  NONE: "none",
  /** The runner had no free slot. */
  FULL: "full",
  UNREACHABLE: "unreachable",
  /** No progress in time: the connection, or the runner, has gone silent. */
  SILENT: "silent",
  FAILURE: "failure",
} as const;
export type FailureCause = ValueOf<typeof FAILURE_CAUSE>;

/** A request as it is sent to a runner. */
export interface UpstreamRequest {
  readonly attemptId: AttemptId;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly idempotent: boolean;
  readonly progressTimeoutMs: number;
  readonly deadlineMs: number;
  readonly signal: AbortSignal | undefined;
}

/** How one exchange ended. Only `answered` carries a body, whole and of this very attempt. */
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

/** A runner as a balancing way sees it. */
export interface RunnerCandidate {
  readonly runner: RunnerName;
  /** Attempts of this entry in progress there. */
  readonly inUse: number;
  /** Slots that this entry may use there of its own right. */
  readonly share: number;
  /** All slots, lowered while it starts slowly. */
  readonly slots: number;
  /** Slots that the other entries used when the runner last reported. */
  readonly othersInUse?: number;
  /** False for a while after it refused this entry for want of a slot. */
  readonly mayBorrow: boolean;
  readonly reportAgeMs: number;
}
