/** Options of a gang attempt, and the result that it reports when it has ended. */
import type {
  Clock,
  EventSink,
  EventSubject,
  WorkerName,
} from "@coltsfootpond/common";
import type { AttemptEnd } from "@coltsfootpond/policy";
import type { GangPlacement, LiveJob } from "./live_job.ts";
import type { FleetCommander } from "./gang_start.ts";
import type { JobRecorder } from "./job_recorder.ts";
import type { StoredJob, TransitionOutcome } from "./job_rows.ts";

/** How the attempt ended, as reported to `LiveJobs`. */
export interface AttemptResult {
  readonly end: AttemptEnd;
  readonly ranMs: number;
  /** Workers on which a task failed, was lost or refused; the engine counts that against them. */
  readonly workers: readonly WorkerName[];
  readonly next:
    | { readonly kind: "requeued"; readonly stored: StoredJob }
    | { readonly kind: "ended" }
    /** This owner may no longer write the row: the job was cancelled or another owner wrote it. */
    | { readonly kind: "gone" };
}

export interface GangAttemptOptions {
  readonly job: LiveJob;
  readonly placement: GangPlacement;
  readonly clock: Clock;
  readonly events: EventSink;
  readonly subject: EventSubject;
  readonly commander: FleetCommander;
  readonly recorder: JobRecorder;
  readonly recordPlacement: (
    placement: GangPlacement,
  ) => Promise<TransitionOutcome>;
  /** Checked right before the start: the failure domain is in and the configuration fresh. */
  readonly mayStart: () => boolean;
  /** False once the failure domain is no longer owned. */
  readonly isOwned: () => boolean;
  readonly onStarted: () => void;
  readonly onEnded: (result: AttemptResult) => void;
}
