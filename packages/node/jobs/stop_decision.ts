/** Pure decision whether a job ends or is requeued after its attempt was stopped. */
import { assertNever, type JobServiceDeclaration } from "@coltsfootpond/common";
import { ATTEMPT_END, type AttemptEnd } from "@coltsfootpond/policy";
import type { JobEnd } from "../rows.ts";
import { STOP_REASON, type StopReason } from "./live_job.ts";

/** An idempotent job ends as failed after this many failures on healthy workers. */
const MAXIMUM_JOB_FAILURES = 3;

export interface StoppedAttempt {
  readonly reason: StopReason;
  readonly service: JobServiceDeclaration;
  /** Whether any task may have run. */
  readonly everStarted: boolean;
  /** One checkpoint per task; undefined if any task has none. */
  readonly checkpoints: readonly string[] | undefined;
  /** Failures of the job on healthy workers before this attempt. */
  readonly failures: number;
}

export type StopDecision =
  /** The job was cancelled, which has deleted its row. */
  | { readonly kind: "gone" }
  | {
    readonly kind: "end";
    readonly attemptEnd: AttemptEnd;
    readonly jobEnd: JobEnd;
  }
  | {
    readonly kind: "requeue";
    readonly attemptEnd: AttemptEnd;
    /** New checkpoints; undefined keeps those in the job's row. */
    readonly checkpoints: readonly string[] | undefined;
    readonly failures: number;
  };

export function decideStop(attempt: StoppedAttempt): StopDecision {
  switch (attempt.reason) {
    case STOP_REASON.CANCELLED:
      return { kind: "gone" };
    case STOP_REASON.OVERRUN:
      return fail("JOB_OVERRAN", ATTEMPT_END.FAILED);
    case STOP_REASON.TASK_FAILED:
      return decideAfterFailure(attempt);
    case STOP_REASON.EVICTED:
    case STOP_REASON.TASK_LOST:
    case STOP_REASON.START_REFUSED:
      if (!mayRunAgain(attempt)) {
        return fail("JOB_INTERRUPTED", ATTEMPT_END.STOPPED);
      }
      return {
        kind: "requeue",
        attemptEnd: ATTEMPT_END.STOPPED,
        checkpoints: attempt.checkpoints,
        failures: attempt.failures,
      };
    default:
      return assertNever(attempt.reason);
  }
}

function fail(
  resultName: JobEnd["resultName"],
  attemptEnd: AttemptEnd,
): StopDecision {
  return { kind: "end", attemptEnd, jobEnd: { state: "failed", resultName } };
}

/** True when no task ran, every task left a checkpoint, or the job is idempotent. */
function mayRunAgain(
  { everStarted, service, checkpoints }: StoppedAttempt,
): boolean {
  return !everStarted || service.idempotent || checkpoints !== undefined;
}

function decideAfterFailure(
  { service, failures }: StoppedAttempt,
): StopDecision {
  const attemptEnd = ATTEMPT_END.FAILED;
  if (!service.idempotent) return fail("JOB_FAILED", attemptEnd);
  if (failures + 1 >= MAXIMUM_JOB_FAILURES) {
    return fail("JOB_FAILED_REPEATEDLY", attemptEnd);
  }
  return {
    kind: "requeue",
    attemptEnd,
    checkpoints: undefined,
    failures: failures + 1,
  };
}
