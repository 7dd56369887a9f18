/** Checks the promises of docs/PROMISES.md on the evidence of a scenario. */
import { DOMAIN_OUT_BOUND_MS } from "@coltsfootpond/node";
import type { TaskRun } from "@coltsfootpond/stand-ins";

/** Printed by `npm run scenarios` for each broken promise. */
export const PROMISE_NAMES = [
  "gang_runs_whole",
  "no_start_in_domain_out",
  "at_most_once",
  "one_attempt_at_a_time",
  "epochs_in_order",
  "configuration_never_reverts",
  "every_job_ends",
] as const;
export type PromiseName = typeof PROMISE_NAMES[number];

/** How long some tasks of a gang may run before the others start or after one was interrupted. */
const PARTIAL_GANG_BOUND_MS = 3_000;

/** A period out of service, from the answer to the operator's `out` until the answer to `in`. */
export interface DomainOutPeriod {
  readonly failureDomain: string;
  readonly fromMs: number;
  readonly toMs: number;
}

/** A configuration version that was in force in one incarnation of an entry. */
export interface VersionSample {
  /** The incarnation. */
  readonly entry: string;
  readonly version: number;
}

/** What a caller reads of a job at the end of the scenario. */
export interface FinalJobState {
  readonly jobId: string;
  readonly idempotent: boolean;
  readonly canCheckpoint: boolean;
  readonly state: string;
}

/** Everything that the promises are checked on. Times are on the scenario's manual clock. */
export interface ScenarioEvidence {
  readonly endMs: number;
  readonly runs: readonly TaskRun[];
  readonly domainOutPeriods: readonly DomainOutPeriod[];
  readonly versions: readonly VersionSample[];
  readonly jobs: readonly FinalJobState[];
  readonly everyJobEnds: boolean;
}

/** A promise that was not kept, and by which job or entry. */
export interface BrokenPromise {
  readonly promise: PromiseName;
  readonly detail: string;
}

/** All task runs of one attempt of a job; from the first start to the last end. */
interface Attempt {
  readonly attemptId: string;
  readonly jobId: string;
  readonly runs: readonly TaskRun[];
  readonly startMs: number;
  readonly endMs: number;
}

function listAttempts(evidence: ScenarioEvidence): readonly Attempt[] {
  const byAttempt = new Map<string, TaskRun[]>();
  for (const run of evidence.runs) {
    const runs = byAttempt.get(run.task.attemptId) ?? [];
    byAttempt.set(run.task.attemptId, [...runs, run]);
  }
  return [...byAttempt].map(([attemptId, runs]) => ({
    attemptId,
    jobId: runs[0]?.task.jobId ?? "",
    runs,
    startMs: Math.min(...runs.map((run) => run.startMs)),
    endMs: Math.max(...runs.map((run) => run.endMs ?? evidence.endMs)),
  }));
}

/** The longest time in which some but not all tasks of a gang ran, in milliseconds. */
function getLongestPartialMs(attempt: Attempt, endMs: number): number {
  const gangTasks = attempt.runs[0]?.gangTasks ?? 0;
  const isComplete = attempt.runs.length === gangTasks;
  const lastStartMs = Math.max(...attempt.runs.map((run) => run.startMs));
  if (!isComplete) return attempt.endMs - attempt.startMs;
  const unfinished = attempt.runs.filter((run) => run.state !== "finished");
  if (unfinished.length === 0) return lastStartMs - attempt.startMs;
  const firstEndMs = Math.min(...unfinished.map((run) => run.endMs ?? endMs));
  return Math.max(lastStartMs - attempt.startMs, attempt.endMs - firstEndMs);
}

function checkGangs(
  evidence: ScenarioEvidence,
  attempts: readonly Attempt[],
): readonly BrokenPromise[] {
  return attempts
    .map((attempt) => ({
      attempt,
      partialMs: getLongestPartialMs(attempt, evidence.endMs),
    }))
    .filter(({ partialMs }) => partialMs > PARTIAL_GANG_BOUND_MS)
    .map(({ attempt, partialMs }) => ({
      promise: "gang_runs_whole",
      detail: `${attempt.jobId}: a part ran for ${partialMs} ms`,
    }));
}

function checkDomainsOut(evidence: ScenarioEvidence): readonly BrokenPromise[] {
  return evidence.domainOutPeriods.flatMap((period) =>
    evidence.runs
      .filter((run) => run.failureDomain === period.failureDomain)
      .filter((run) =>
        run.startMs > period.fromMs + DOMAIN_OUT_BOUND_MS &&
        run.startMs < period.toMs
      )
      .map((run): BrokenPromise => ({
        promise: "no_start_in_domain_out",
        detail: `${run.task.jobId} started ${
          run.startMs - period.fromMs
        } ms after out`,
      }))
  );
}

function checkAttempts(
  evidence: ScenarioEvidence,
  attempts: readonly Attempt[],
): readonly BrokenPromise[] {
  const brokenPromises: BrokenPromise[] = [];
  for (const job of evidence.jobs) {
    const jobAttempts = attempts.filter((attempt) =>
      attempt.jobId === job.jobId
    );
    jobAttempts.sort((left, right) => left.startMs - right.startMs);
    if (jobAttempts.length > 1 && !job.idempotent && !job.canCheckpoint) {
      brokenPromises.push({
        promise: "at_most_once",
        detail: `${job.jobId} ran ${jobAttempts.length} times`,
      });
    }
    for (let index = 1; index < jobAttempts.length; index++) {
      const overlapMs = (jobAttempts[index - 1]?.endMs ?? 0) -
        (jobAttempts[index]?.startMs ?? 0);
      if (overlapMs > 0) {
        brokenPromises.push({
          promise: "one_attempt_at_a_time",
          detail: `${job.jobId} overlapped by ${overlapMs} ms`,
        });
      }
    }
  }
  return brokenPromises;
}

function checkEpochs(evidence: ScenarioEvidence): readonly BrokenPromise[] {
  const highest = new Map<string, number>();
  const brokenPromises: BrokenPromise[] = [];
  for (
    const run of [...evidence.runs].sort((left, right) =>
      left.startMs - right.startMs
    )
  ) {
    const known = highest.get(run.failureDomain) ?? 0;
    if (run.epoch < known) {
      brokenPromises.push({
        promise: "epochs_in_order",
        detail:
          `${run.task.jobId} started under epoch ${run.epoch} after ${known}`,
      });
    }
    highest.set(run.failureDomain, Math.max(known, run.epoch));
  }
  return brokenPromises;
}

function checkVersions(evidence: ScenarioEvidence): readonly BrokenPromise[] {
  const latest = new Map<string, number>();
  const brokenPromises: BrokenPromise[] = [];
  for (const { entry, version } of evidence.versions) {
    const known = latest.get(entry) ?? 0;
    if (version < known) {
      brokenPromises.push({
        promise: "configuration_never_reverts",
        detail: `${entry} went from ${known} to ${version}`,
      });
    }
    latest.set(entry, version);
  }
  return brokenPromises;
}

function checkJobsEnd(evidence: ScenarioEvidence): readonly BrokenPromise[] {
  if (!evidence.everyJobEnds) return [];
  return evidence.jobs
    .filter((job) => !["answered", "failed", "cancelled"].includes(job.state))
    .map((job) => ({
      promise: "every_job_ends",
      detail: `${job.jobId} is ${job.state}`,
    }));
}

/** Returns an empty list when all promises were kept. */
export function findBrokenPromises(
  evidence: ScenarioEvidence,
): readonly BrokenPromise[] {
  const attempts = listAttempts(evidence);
  return [
    ...checkGangs(evidence, attempts),
    ...checkDomainsOut(evidence),
    ...checkAttempts(evidence, attempts),
    ...checkEpochs(evidence),
    ...checkVersions(evidence),
    ...checkJobsEnd(evidence),
  ];
}
