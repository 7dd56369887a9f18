/** Checks for runs that would never end by themselves. */
import type { WorkerName } from "@coltsfootpond/common";
import { mayStillRunUnreported, type Unit } from "./live_job.ts";

/** A run is stalled when none of its tasks has made progress for this long, in milliseconds. */
const STALL_TIMEOUT_MS = 2_500;

/** Whether no task of the run makes progress although all of its workers are reachable. */
export function isStalled({ run, step }: Unit): boolean {
  if (run === undefined || run.isClosing || step.isPersistent) return false;
  const members = [...run.taskRuns];
  return members.length > 0 &&
    members.every(([taskRun, session]) =>
      session.isReachable && taskRun.percent < 100 &&
      taskRun.percentReportedClockMs - taskRun.percentChangedClockMs >
        STALL_TIMEOUT_MS
    );
}

/** Whether a gang's run has lost tasks for good although the gang is not done. */
export function isIncomplete(
  unit: Unit,
  isUnreported: (worker: WorkerName) => boolean,
): boolean {
  const { run, job } = unit;
  if (run === undefined || run.isClosing) return false;
  return !mayStillRunUnreported(unit, isUnreported) &&
    run.taskRuns.size < unit.count &&
    !job.progress.isUnitDone(unit.address);
}
