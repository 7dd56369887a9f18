/** Finds broken promises by comparing what callers received with what runners and workers ran. */
import { createHash } from "node:crypto";
import { RESULT_CLASS, type ValueOf } from "@coltsfootpond/common";
import {
  DOMAIN_OUT_BOUND_MS,
  UPSTREAM_LEAVING_BOUND_MS,
} from "@coltsfootpond/node";
import type { PlatformLedger, TaskRun } from "@coltsfootpond/stand-ins";
import type { LostConnection, RequestRecord } from "./load_generator.ts";

/** The promises that the demo checks, as the report prints them. */
export const PROMISE = {
  WHOLE_ANSWER: "a caller gets the whole answer to its own request",
  NOT_RUN: "what is said not to have run has not run",
  AT_MOST_ONCE: "a non-idempotent request runs at most once",
  WHOLE_GANG: "no part of a gang runs unless all of it runs",
  DOMAIN_OUT: "no task starts in a failure domain that is out",
  UPSTREAM_LEAVING: "a leaving upstream gets no new work",
  PLANNED_STOP: "a planned stop cuts no request",
  CONFIGURATION: "an accepted configuration is in force everywhere",
} as const;
export type PromiseName = ValueOf<typeof PROMISE>;

export interface BrokenPromise {
  readonly promise: PromiseName;
  /** The request, run, runner or entry concerned. */
  readonly subject: string;
  readonly detail: string;
}

/** One execution of a request on a runner, from the runner's ledger. */
export interface RunnerExecution {
  readonly requestId: string;
  readonly attemptId: string;
  readonly service: string;
}

/**
 * How many executions a leaving runner had begun, counted at the end of the bound within which it
 * may still get new work, and at the end of the demo.
 */
export interface LeavingRunner {
  readonly name: string;
  readonly executionsAfterBound: number;
  readonly executionsAtEnd: number;
}

/** Result of a planned stop of an entry; the exit code is null when a signal ended it. */
export interface PlannedStop {
  readonly entry: string;
  readonly exitCode: number | null;
}

/** From SIGKILL until the exit of the killed entry, on the load generator's clock. */
export interface KillWindow {
  readonly fromMs: number;
  readonly toMs: number;
}

/** Everything that the promises are checked on. */
export interface DemoEvidence {
  readonly records: readonly RequestRecord[];
  readonly lost: readonly LostConnection[];
  readonly executions: readonly RunnerExecution[];
  readonly ledger: PlatformLedger;
  /** The failure domain taken out between the marks `out` and `in`. */
  readonly domainOut: string;
  readonly kill: KillWindow;
  readonly plannedStop: PlannedStop;
  readonly leavingRunner: LeavingRunner;
  /** Entries that did not report the second configuration in time. */
  readonly withoutConfiguration: readonly string[];
  /** Requests without a result, and what they wait for. */
  readonly open: readonly string[];
}

/** Upper bound on the time between the first and the last start of a gang. */
const GANG_START_SPREAD_MS = 1_000;

function computeSha256Hex(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}

function groupBy<Item>(
  items: readonly Item[],
  getKey: (item: Item) => string,
): ReadonlyMap<string, readonly Item[]> {
  const groups = new Map<string, Item[]>();
  for (const item of items) {
    const key = getKey(item);
    groups.set(key, [...groups.get(key) ?? [], item]);
  }
  return groups;
}

function getJobId({ planned }: RequestRecord): string {
  return `${planned.organisation.name}/${planned.requestId}`;
}

/** Every answered request has a run. This also checks that callers' and ledgers' ids match. */
function checkAnswersHaveRuns(
  evidence: DemoEvidence,
  runsByJob: ReadonlyMap<string, readonly TaskRun[]>,
  executionsById: ReadonlyMap<string, readonly RunnerExecution[]>,
): BrokenPromise[] {
  return evidence.records
    .filter((record) =>
      record.answer !== undefined && !runsByJob.has(getJobId(record)) &&
      !executionsById.has(record.planned.requestId)
    )
    .map(({ planned }) => ({
      promise: PROMISE.WHOLE_ANSWER,
      subject: planned.requestId,
      detail: "answered and never run",
    }));
}

/** Every answer contains the digest of the body of its request. */
function checkAnswerContents(evidence: DemoEvidence): BrokenPromise[] {
  return evidence.records
    .filter(({ answer, planned }) =>
      answer !== undefined &&
      !answer.toString().includes(computeSha256Hex(planned.body))
    )
    .map(({ answer, planned }) => ({
      promise: PROMISE.WHOLE_ANSWER,
      subject: planned.requestId,
      detail: `got ${answer?.byteLength} bytes that answer something else`,
    }));
}

function checkNotRun(
  evidence: DemoEvidence,
  runsByJob: ReadonlyMap<string, readonly TaskRun[]>,
  executionsById: ReadonlyMap<string, readonly RunnerExecution[]>,
): BrokenPromise[] {
  return evidence.records
    .filter((record) => record.class === RESULT_CLASS.NOT_RUN)
    .flatMap((record) => {
      const { requestId } = record.planned;
      const runs = (runsByJob.get(getJobId(record))?.length ?? 0) +
        (executionsById.get(requestId)?.length ?? 0);
      if (runs === 0) return [];
      return [{
        promise: PROMISE.NOT_RUN,
        subject: requestId,
        detail: `said ${record.code}, ran ${runs} times`,
      }];
    });
}

function checkAtMostOnce(
  evidence: DemoEvidence,
  runsByJob: ReadonlyMap<string, readonly TaskRun[]>,
  executionsById: ReadonlyMap<string, readonly RunnerExecution[]>,
): BrokenPromise[] {
  return evidence.records
    .filter(({ planned }) => !planned.service.idempotent)
    .flatMap((record) => {
      const { requestId } = record.planned;
      const attempts = new Set([
        ...(runsByJob.get(getJobId(record)) ?? [])
          .map((run) => run.task.attemptId as string),
        ...(executionsById.get(requestId) ?? [])
          .map((execution) => execution.attemptId),
      ]);
      if (attempts.size <= 1) return [];
      return [{
        promise: PROMISE.AT_MOST_ONCE,
        subject: requestId,
        detail: `${attempts.size} attempts ran`,
      }];
    });
}

function describeGangFault(runs: readonly TaskRun[]): string | undefined {
  const first = runs[0];
  if (first === undefined) return undefined;
  const indexes = new Set(runs.map((run) => run.task.index));
  if (indexes.size !== first.gangTasks || runs.length !== first.gangTasks) {
    return `${runs.length} starts of ${first.gangTasks} tasks`;
  }
  const starts = runs.map((run) => run.startMs);
  const spreadMs = Math.max(...starts) - Math.min(...starts);
  if (spreadMs > GANG_START_SPREAD_MS) {
    return `starts ${Math.round(spreadMs)} ms apart`;
  }
  const racks = new Set(runs.map((run) => run.rack));
  const domains = new Set(runs.map((run) => run.failureDomain));
  if (domains.size > 1) return "crosses failure domains";
  if (first.adjacency === "rack" && racks.size > 1) return "crosses racks";
  return undefined;
}

function checkGangs(evidence: DemoEvidence): BrokenPromise[] {
  const gangs = groupBy(
    evidence.ledger.runs,
    ({ task }) => `${task.jobId} ${task.attemptId}`,
  );
  return [...gangs].flatMap(([subject, runs]) => {
    const detail = describeGangFault(runs);
    if (detail === undefined) return [];
    return [{ promise: PROMISE.WHOLE_GANG, subject, detail }];
  });
}

/** Time of a mark in milliseconds of the platform's clock; NaN when it is missing. */
export function getMarkMs(ledger: PlatformLedger, name: string): number {
  return ledger.marks.find((mark) => mark.name === name)?.atMs ?? NaN;
}

function checkDomainOut(evidence: DemoEvidence): BrokenPromise[] {
  const { ledger, domainOut } = evidence;
  const fromMs = getMarkMs(ledger, "out") + DOMAIN_OUT_BOUND_MS;
  const toMs = getMarkMs(ledger, "in");
  return ledger.runs
    .filter((run) =>
      run.failureDomain === domainOut &&
      run.startMs > fromMs && run.startMs < toMs
    )
    .map((run) => ({
      promise: PROMISE.DOMAIN_OUT,
      subject: `${run.task.jobId} ${run.task.index}`,
      detail: `started ${Math.round(run.startMs - fromMs)} ms after the bound`,
    }));
}

function checkLeavingRunner({ leavingRunner }: DemoEvidence): BrokenPromise[] {
  const { name, executionsAfterBound, executionsAtEnd } = leavingRunner;
  const late = executionsAtEnd - executionsAfterBound;
  if (late === 0) return [];
  return [{
    promise: PROMISE.UPSTREAM_LEAVING,
    subject: name,
    detail: `${late} requests later than ${UPSTREAM_LEAVING_BOUND_MS} ms`,
  }];
}

/** Only connections that were open during the kill window may be lost. */
function checkPlannedStop(evidence: DemoEvidence): BrokenPromise[] {
  const { kill, plannedStop, lost } = evidence;
  const cut = lost
    .filter(({ sentMs, lostMs }) => sentMs > kill.toMs || lostMs < kill.fromMs)
    .map(({ requestId, method, lostMs, reason }) => ({
      promise: PROMISE.PLANNED_STOP,
      subject: `${method} ${requestId}`,
      detail: `cut at ${Math.round(lostMs)} ms: ${reason}`,
    }));
  if (plannedStop.exitCode === 0) return cut;
  return [...cut, {
    promise: PROMISE.PLANNED_STOP,
    subject: plannedStop.entry,
    detail: `ended with ${plannedStop.exitCode ?? "a signal"}`,
  }];
}

function checkConfiguration(evidence: DemoEvidence): BrokenPromise[] {
  return evidence.withoutConfiguration.map((subject) => ({
    promise: PROMISE.CONFIGURATION,
    subject,
    detail: "did not report the accepted version in time",
  }));
}

/** Returns an empty list when all promises were kept. */
export function findBrokenPromises(
  evidence: DemoEvidence,
): readonly BrokenPromise[] {
  const runsByJob = groupBy(
    evidence.ledger.runs,
    (run) => run.task.jobId,
  );
  const executionsById = groupBy(
    evidence.executions,
    (execution) => execution.requestId,
  );
  return [
    ...checkAnswerContents(evidence),
    ...checkAnswersHaveRuns(evidence, runsByJob, executionsById),
    ...checkNotRun(evidence, runsByJob, executionsById),
    ...checkAtMostOnce(evidence, runsByJob, executionsById),
    ...checkGangs(evidence),
    ...checkDomainOut(evidence),
    ...checkLeavingRunner(evidence),
    ...checkPlannedStop(evidence),
    ...checkConfiguration(evidence),
  ];
}
