/** Which runs of units cannot come to an end by themselves. */
import type { WorkerName } from "@coltsfootpond/common";
import { mayStillRunUnreported, type Unit } from "./live_job.ts";

/** A run of which no member has made progress for this long stands still. */
const STALL_TIMEOUT_MS = 2_500;

/** Whether no member makes progress although all of their workers can be asked. */
export function isStalled({ run, step }: Unit): boolean {
  if (run === undefined || run.isClosing || step.isPersistent) return false;
  const members = [...run.members];
  return members.length > 0 &&
    members.every(([taskRun, session]) =>
      session.isReachable && taskRun.percent < 100 &&
      taskRun.percentReportedClockMs - taskRun.percentChangedClockMs >
        STALL_TIMEOUT_MS
    );
}

/** Whether members of a gang's run are missing for good, though the gang is not done. */
export function isIncomplete(
  unit: Unit,
  unreported: ReadonlySet<WorkerName>,
): boolean {
  const { run, job } = unit;
  if (run === undefined || run.isClosing) return false;
  return !mayStillRunUnreported(unit, unreported) &&
    run.members.size < unit.count &&
    !job.progress.isUnitDone(unit.address);
}
