/** Splits the time of each job into the stages that the lease holders' logs show. */
import type { LogLine } from "./log_lines.ts";

/** Seconds that a job spent in each stage; undefined for a stage that it did not complete. */
export interface JobStages {
  readonly job: string;
  readonly priority: number;
  /** When the job was accepted, in seconds of the log. */
  readonly acceptedS: number;
  /** From its acceptance until a lease holder read its row. */
  readonly toOpenS: number;
  /** From then until its first unit was placed. */
  readonly toStartS: number | undefined;
  /** From its first placement until the last end of a task. */
  readonly runS: number | undefined;
  /** From then until its end was stored. */
  readonly toStoredS: number | undefined;
  readonly evictions: number;
}

interface JobTrace {
  readonly priority: number;
  readonly openedS: number;
  readonly ageS: number;
  startedS?: number;
  lastEndS?: number;
  storedS?: number;
  evictions: number;
}

const MS_PER_SECOND = 1_000;

/** The stages of all jobs in the order in which they were first opened. */
export function collectJobStages(
  lines: Iterable<LogLine>,
): readonly JobStages[] {
  const traces = new Map<string, JobTrace>();
  for (const line of lines) applyLine(traces, line);
  return [...traces].map(([job, trace]) => ({
    job,
    priority: trace.priority,
    acceptedS: trace.openedS - trace.ageS,
    toOpenS: trace.ageS,
    toStartS: subtract(trace.startedS, trace.openedS),
    runS: subtract(trace.lastEndS, trace.startedS),
    toStoredS: subtract(trace.storedS, trace.lastEndS),
    evictions: trace.evictions,
  }));
}

function applyLine(
  traces: Map<string, JobTrace>,
  { atS, event, fields }: LogLine,
): void {
  const jobOf = (name: unknown) =>
    traces.get(String(name).split(".", 1)[0] ?? "");
  switch (event) {
    case "job.opened": {
      const job = String(fields.job);
      if (traces.has(job)) return;
      traces.set(job, {
        priority: Number(fields.priority),
        openedS: atS,
        ageS: Number(fields.ageMs) / MS_PER_SECOND,
        evictions: 0,
      });
      return;
    }
    case "unit.started": {
      const trace = jobOf(fields.unit);
      if (trace !== undefined) trace.startedS ??= atS;
      return;
    }
    case "unit.evicted": {
      const trace = jobOf(fields.unit);
      if (trace !== undefined) trace.evictions++;
      return;
    }
    case "task.ended": {
      const trace = jobOf(fields.task);
      if (trace !== undefined && fields.end === "done") trace.lastEndS = atS;
      return;
    }
    case "job.ended": {
      const trace = jobOf(fields.job);
      if (trace !== undefined) trace.storedS ??= atS;
    }
  }
}

function subtract(
  end: number | undefined,
  begin: number | undefined,
): number | undefined {
  return end === undefined || begin === undefined ? undefined : end - begin;
}
