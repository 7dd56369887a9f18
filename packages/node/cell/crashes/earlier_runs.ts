/**
 * Runs that an earlier lease holder has placed and that are neither running nor listed as ended: the
 * worker may have crashed under them before or while the holder changed.
 */
import type { WorkerName } from "@coltsfootpond/common";
import { type EarlierRun, formatUnitKey, type Unit } from "../live_job.ts";
import type { WorkerSession } from "../worker_session.ts";

export type GetSession = (worker: WorkerName) => WorkerSession | undefined;

/** The earlier run of a waiting unit, with a worker whose process has ended since. */
export function findCrashedEarlierRun(
  unit: Unit,
  getSession: GetSession,
  hasUnusableRecord: (worker: WorkerName) => boolean,
): { readonly run: number; readonly worker: WorkerName } | undefined {
  const earlier = unit.job.earlierRuns.get(formatUnitKey(unit.address));
  const isWaiting = unit.run === undefined && !unit.wasPlacedByThisHolder;
  if (earlier === undefined || !isWaiting) return undefined;
  const worker = findEndedWorker(earlier, getSession, hasUnusableRecord);
  return worker === undefined ? undefined : { run: earlier.run, worker };
}

function findEndedWorker(
  { incarnations }: EarlierRun,
  getSession: GetSession,
  hasUnusableRecord: (worker: WorkerName) => boolean,
): WorkerName | undefined {
  return [...incarnations].find(([worker, startUnixMs]) => {
    if (startUnixMs === 0) return false;
    const session = getSession(worker);
    // A worker that is cut off has a record but sends no report.
    const present = session?.hasReported
      ? session.incarnationStartUnixMs
      : session?.record?.incarnationStartUnixMs;
    // Another writer may have overwritten the record.
    if (present === undefined && hasUnusableRecord(worker)) return false;
    return present !== startUnixMs;
  })?.[0];
}
