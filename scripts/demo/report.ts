/**
 * The demo's report: results, completion times, fragmentation, and the work done while a failure
 * domain was out of service.
 */
import {
  type Declarations,
  MS_PER_SECOND,
  RESULT_CLASS,
  type ServiceDeclaration,
} from "@coltsfootpond/common";
import type { CapacitySample, PlatformLedger } from "@coltsfootpond/stand-ins";
import { build } from "hdr-histogram-js";
import type { RequestRecord } from "./load_generator.ts";
import { type BrokenPromise, getMarkMs, PROMISE } from "./promises.ts";

/** Results and completion times of one kind of service. */
export interface KindReport {
  readonly sent: number;
  readonly answered: number;
  readonly notRun: number;
  readonly unknown: number;
  readonly completionP50Ms: number;
  readonly completionP99Ms: number;
}

/** Work while the failure domain was out of service. */
export interface DomainOutReport {
  readonly failureDomain: string;
  readonly durationMs: number;
  /** In all failure domains. */
  readonly acceleratorSeconds: number;
  /** Of these, in the failure domain itself, before its tasks had ended. */
  readonly acceleratorSecondsInside: number;
  readonly tasksFinished: number;
}

/** The report that `--json` prints. */
export interface DemoReport {
  readonly call: KindReport;
  readonly job: KindReport;
  readonly codes: Readonly<Record<string, number>>;
  /** Mean share of the free accelerators that the largest rack-bound gang cannot use. */
  readonly fragmentation: number;
  readonly domainOut: DomainOutReport;
  readonly tableWritesPerSecond: number;
  readonly tableReadsPerSecond: number;
  readonly connectionsLost: number;
  readonly requestsSentAgain: number;
  /** Requests without a result, counted as unknown. */
  readonly open: readonly string[];
  readonly broken: readonly BrokenPromise[];
}

export interface ReportInput {
  readonly declarations: Declarations;
  readonly records: readonly RequestRecord[];
  readonly ledger: PlatformLedger;
  readonly domainOut: string;
  readonly connectionsLost: number;
  readonly open: readonly string[];
  readonly broken: readonly BrokenPromise[];
}

const HIGHEST_COMPLETION_MS = 600_000;

function summariseKind(
  records: readonly RequestRecord[],
  kind: ServiceDeclaration["kind"],
): KindReport {
  const ofKind = records.filter(({ planned }) => planned.service.kind === kind);
  const histogram = build({ highestTrackableValue: HIGHEST_COMPLETION_MS });
  const count = (resultClass: string) =>
    ofKind.filter((record) => record.class === resultClass).length;
  for (const { sentMs, endedMs, answer } of ofKind) {
    if (answer === undefined || endedMs === undefined) continue;
    histogram.recordValue(Math.round(endedMs - sentMs));
  }
  return {
    sent: ofKind.length,
    answered: count(RESULT_CLASS.ANSWERED),
    notRun: count(RESULT_CLASS.NOT_RUN),
    unknown: count(RESULT_CLASS.UNKNOWN),
    completionP50Ms: histogram.getValueAtPercentile(50),
    completionP99Ms: histogram.getValueAtPercentile(99),
  };
}

function countCodes(
  records: readonly RequestRecord[],
): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const { code } of records) {
    const key = code === undefined ? "no code" : String(code);
    counts[key] = (counts[key] ?? 0) + 1;
  }
  return counts;
}

/** Number of tasks of the largest gang that must run in one rack. */
function getLargestRackGangTasks(declarations: Declarations): number {
  const sizes = declarations.services.flatMap((service) =>
    service.kind === "job" && service.shape.adjacency === "rack"
      ? [service.shape.tasks]
      : []
  );
  return Math.max(1, ...sizes);
}

/** Counts only idle workers as usable: the gang is taken to need one whole worker per task. */
function measureFragmentation(
  samples: readonly CapacitySample[],
  gangTasks: number,
): number {
  const moments = new Map<number, { free: number; usable: number }>();
  for (const sample of samples) {
    const moment = moments.get(sample.atMs) ?? { free: 0, usable: 0 };
    const gangs = Math.floor(sample.idleWorkers / gangTasks);
    const perWorker = sample.totalAccelerators /
      Math.max(1, sample.totalWorkers);
    moment.free += sample.freeAccelerators;
    moment.usable += gangs * gangTasks * perWorker;
    moments.set(sample.atMs, moment);
  }
  const shares = [...moments.values()]
    .filter(({ free }) => free > 0)
    .map(({ free, usable }) => 1 - usable / free);
  if (shares.length === 0) return 0;
  return shares.reduce((sum, share) => sum + share, 0) / shares.length;
}

function summariseDomainOut(
  ledger: PlatformLedger,
  failureDomain: string,
): DomainOutReport {
  const fromMs = getMarkMs(ledger, "out");
  const toMs = getMarkMs(ledger, "in");
  let total = 0;
  let inside = 0;
  let tasksFinished = 0;
  for (const run of ledger.runs) {
    const endMs = run.endMs ?? ledger.nowMs;
    const overlapMs = Math.min(endMs, toMs) - Math.max(run.startMs, fromMs);
    const work = Math.max(0, overlapMs) / MS_PER_SECOND *
      run.resources.accelerators;
    total += work;
    if (run.failureDomain === failureDomain) inside += work;
    const finished = run.state === "finished" && endMs >= fromMs &&
      endMs <= toMs;
    if (finished) tasksFinished += 1;
  }
  return {
    failureDomain,
    durationMs: Math.round(toMs - fromMs),
    acceleratorSeconds: roundToHundredths(total),
    acceleratorSecondsInside: roundToHundredths(inside),
    tasksFinished,
  };
}

function roundToHundredths(value: number): number {
  return Math.round(value * 100) / 100;
}

export function createReport(input: ReportInput): DemoReport {
  const { ledger, records } = input;
  const startMs = getMarkMs(ledger, "load");
  const loadSamples = ledger.capacity.filter(({ atMs }) =>
    atMs >= startMs && atMs <= getMarkMs(ledger, "load_end")
  );
  const seconds = (ledger.nowMs - startMs) / MS_PER_SECOND;
  return {
    call: summariseKind(records, "call"),
    job: summariseKind(records, "job"),
    codes: countCodes(records),
    fragmentation: roundToHundredths(
      measureFragmentation(
        loadSamples,
        getLargestRackGangTasks(input.declarations),
      ),
    ),
    domainOut: summariseDomainOut(ledger, input.domainOut),
    tableWritesPerSecond: roundToHundredths(ledger.tableWrites / seconds),
    tableReadsPerSecond: roundToHundredths(ledger.tableReads / seconds),
    connectionsLost: input.connectionsLost,
    requestsSentAgain:
      records.filter(({ resendCount }) => resendCount > 0).length,
    open: input.open,
    broken: input.broken,
  };
}

function formatKind(name: string, report: KindReport): string {
  return `${name}: ${report.sent} sent, ${report.answered} answered, ` +
    `${report.notRun} not run, ${report.unknown} unknown; ` +
    `completion p50 ${report.completionP50Ms} ms, ` +
    `p99 ${report.completionP99Ms} ms`;
}

/** The report as lines of text. */
export function formatReport(report: DemoReport): readonly string[] {
  const { domainOut, broken } = report;
  const codes = Object.entries(report.codes)
    .map(([code, count]) => `${code} x${count}`).join(", ");
  return [
    formatKind("calls", report.call),
    formatKind("jobs", report.job),
    `result codes: ${codes}`,
    `fragmentation: ${report.fragmentation} of the free accelerators`,
    `${domainOut.failureDomain} out for ${domainOut.durationMs} ms: ` +
    `${domainOut.acceleratorSeconds} accelerator seconds of work, ` +
    `${domainOut.acceleratorSecondsInside} of them inside before it was empty, ` +
    `${domainOut.tasksFinished} tasks finished`,
    `table: ${report.tableWritesPerSecond} writes/s, ` +
    `${report.tableReadsPerSecond} reads/s`,
    `connections lost: ${report.connectionsLost}, ` +
    `requests sent again: ${report.requestsSentAgain}`,
    `still open at the end: ${report.open.length}`,
    ...report.open.slice(0, MAXIMUM_DETAILS).map((line) => `  ${line}`),
    ...Object.values(PROMISE).map((promise) => {
      const count = broken.filter((found) => found.promise === promise).length;
      return `${count === 0 ? "kept  " : "BROKEN"} ${promise}` +
        (count === 0 ? "" : `: ${count}`);
    }),
    ...broken.slice(0, MAXIMUM_DETAILS)
      .map(({ subject, detail }) => `  ${subject}: ${detail}`),
    `broken promises: ${broken.length}`,
  ];
}

const MAXIMUM_DETAILS = 20;
