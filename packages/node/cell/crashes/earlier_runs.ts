/**
 * Runs that an earlier lease holder has placed and that are neither running nor listed as ended: the
 * worker may have crashed under them before or while the holder changed.
 */
import type { WorkerName } from "@coltsfootpond/common";
import { type EarlierRun, formatUnitKey, type Unit } from "../live_job.ts";
import type { WorkerSession } from "../worker_session.ts";

export interface EarlierRunChecks {
  readonly getSession: (worker: WorkerName) => WorkerSession | undefined;
  /** Whether the unit may have a run that no report has shown yet. */
  readonly isBlocked: (unit: Unit) => boolean;
}

/** The earlier run of a unit if a worker's process has ended since, with that worker. */
export function findCrashedEarlierRun(
  unit: Unit,
  { getSession, isBlocked }: EarlierRunChecks,
): { readonly run: number; readonly worker: WorkerName } | undefined {
  const earlier = unit.job.earlierRuns.get(formatUnitKey(unit.address));
  const isOpen = unit.run === undefined && !unit.wasPlacedByThisHolder;
  if (earlier === undefined || !isOpen || isBlocked(unit)) return undefined;
  const worker = findEndedWorker(earlier, getSession);
  return worker === undefined ? undefined : { run: earlier.run, worker };
}

function findEndedWorker(
  { incarnations }: EarlierRun,
  getSession: EarlierRunChecks["getSession"],
): WorkerName | undefined {
  return [...incarnations].find(([worker, startUnixMs]) => {
    if (startUnixMs === 0) return false;
    const session = getSession(worker);
    // A worker that is cut off has a record but sends no report.
    const present = session?.hasReported
      ? session.incarnationStartUnixMs
      : session?.record?.incarnationStartUnixMs;
    return present !== startUnixMs;
  })?.[0];
}
