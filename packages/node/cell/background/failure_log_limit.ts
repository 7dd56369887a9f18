/** Limits the log lines of failures that repeat, so that a failing loop cannot flood the log. */
import type { Clock } from "@coltsfootpond/common";
import type { CellLog, LogFields } from "../log.ts";
import { FAILURE_EVENT } from "./report_failure.ts";

/** Lines of one activity in each period; the failures that follow are only counted. */
const MAXIMUM_LINES = 5;
const PERIOD_MS = 10_000;

interface Period {
  readonly startedMs: number;
  lines: number;
  suppressed: number;
}

/**
 * Wraps a log so that each activity writes at most MAXIMUM_LINES failures in PERIOD_MS. The first
 * line of the next period says how many were left out (`suppressed`).
 */
export function limitFailureLines(log: CellLog, clock: Clock): CellLog {
  const periods = new Map<unknown, Period>();

  function warnOfFailure(event: string, fields: LogFields): void {
    const nowMs = clock.nowMs();
    const known = periods.get(fields.activity);
    const isOver = known === undefined ||
      nowMs - known.startedMs >= PERIOD_MS;
    const period = isOver
      ? { startedMs: nowMs, lines: 0, suppressed: 0 }
      : known;
    periods.set(fields.activity, period);
    if (period.lines >= MAXIMUM_LINES) {
      period.suppressed++;
      return;
    }
    period.lines++;
    const suppressed = isOver ? known?.suppressed ?? 0 : 0;
    log.warn(event, suppressed > 0 ? { ...fields, suppressed } : fields);
  }

  return {
    info: (event, fields) => log.info(event, fields),
    warn: (event, fields) =>
      event === FAILURE_EVENT
        ? warnOfFailure(event, fields ?? {})
        : log.warn(event, fields),
  };
}
