/** Checks for runs that would never end by themselves. */
import type { WorkerName } from "@coltsfootpond/common";
import { mayStillRunUnreported, type Unit } from "./live_job.ts";
import type { WorkerSession } from "./worker_session.ts";

/**
 * A run on workers of the usual speed is stalled when none of its tasks has made progress for this
 * long, in milliseconds; on slower workers a task takes longer for the next percent.
 */
const STALL_TIMEOUT_MS = 2_500;
/**
 * A worker of a lower estimated speed has probably stopped, so that its runs get no more time.
 * Deployments have workers of 0.6 times the usual speed.
 */
const LOWEST_PLAUSIBLE_SPEED = 0.4;

/**
 * Whether no task of the run makes progress although all of its workers are reachable. `getSpeed` is
 * the estimated speed of a worker; 1 where not known.
 */
export function isStalled(
  { run, step }: Unit,
  getSpeed: (session: WorkerSession) => number,
): boolean {
  if (run === undefined || run.isClosing || step.isPersistent) return false;
  const members = [...run.taskRuns];
  const slowest = Math.min(
    1,
    ...members.map(([, session]) => getSpeed(session)),
  );
  const timeoutMs = STALL_TIMEOUT_MS /
    (slowest < LOWEST_PLAUSIBLE_SPEED ? 1 : slowest);
  return members.length > 0 &&
    members.every(([taskRun, session]) =>
      session.isReachable && taskRun.percent < 100 &&
      taskRun.percentReportedClockMs - taskRun.percentChangedClockMs >
        timeoutMs
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
