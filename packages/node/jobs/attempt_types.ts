/** What an attempt is given, and what it reports when it has ended. */
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

/** How the attempt ended, as the runner hears it. */
export interface AttemptResult {
  readonly end: AttemptEnd;
  readonly ranMs: number;
  /** Workers to blame. */
  readonly workers: readonly WorkerName[];
  readonly next:
    | { readonly kind: "requeued"; readonly stored: StoredJob }
    | { readonly kind: "ended" }
    /** The row is no longer this owner's to write: cancelled, or moved on. */
    | { readonly kind: "gone" };
}

export interface AttemptTaskOptions {
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
  readonly mayStart: () => boolean;
  /** False once the failure domain is no longer held. */
  readonly isHeld: () => boolean;
  readonly onStarted: () => void;
  readonly onEnded: (result: AttemptResult) => void;
}
