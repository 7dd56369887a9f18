/** The promises of the brief, checked on the ledgers that a scenario leaves. */
import { DOMAIN_OUT_BOUND_MS } from "@coltsfootpond/node";
import type { TaskRun } from "@coltsfootpond/stand-ins";

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

/** How long a part of a gang may be seen running before or after the rest. */
const PARTIAL_BOUND_MS = 3_000;

/** A time span in which operators held a failure domain out, from the answer to the return. */
export interface DomainOutPeriod {
  readonly failureDomain: string;
  readonly fromMs: number;
  readonly toMs: number;
}

/** A configuration version seen in force on one life of an entry. */
export interface VersionSample {
  readonly entry: string;
  readonly version: number;
}

export interface FinalJobState {
  readonly jobId: string;
  readonly idempotent: boolean;
  readonly canCheckpoint: boolean;
  readonly state: string;
}

/** All that a scenario leaves to judge. */
export interface ScenarioEvidence {
  readonly endMs: number;
  readonly runs: readonly TaskRun[];
  readonly outSpans: readonly DomainOutPeriod[];
  readonly versions: readonly VersionSample[];
  readonly jobs: readonly FinalJobState[];
  readonly everyJobEnds: boolean;
}

/** One broken promise. */
export interface BrokenPromise {
  readonly promise: PromiseName;
  readonly detail: string;
}

interface Attempt {
  readonly attemptId: string;
  readonly jobId: string;
  readonly runs: readonly TaskRun[];
  readonly startMs: number;
  readonly endMs: number;
}

function listAttempts(ledger: ScenarioEvidence): readonly Attempt[] {
  const byAttempt = new Map<string, TaskRun[]>();
  for (const run of ledger.runs) {
    const runs = byAttempt.get(run.task.attemptId) ?? [];
    byAttempt.set(run.task.attemptId, [...runs, run]);
  }
  return [...byAttempt].map(([attemptId, runs]) => ({
    attemptId,
    jobId: runs[0]?.task.jobId ?? "",
    runs,
    startMs: Math.min(...runs.map((run) => run.startMs)),
    endMs: Math.max(...runs.map((run) => run.endMs ?? ledger.endMs)),
  }));
}

/** Spans in which some but not all tasks of a gang ran. */
function getLongestPartialMs(attempt: Attempt, endMs: number): number {
  const gangTasks = attempt.runs[0]?.gangTasks ?? 0;
  const whole = attempt.runs.length === gangTasks;
  const lastStartMs = Math.max(...attempt.runs.map((run) => run.startMs));
  if (!whole) return attempt.endMs - attempt.startMs;
  const unfinished = attempt.runs.filter((run) => run.state !== "finished");
  if (unfinished.length === 0) return lastStartMs - attempt.startMs;
  const firstEndMs = Math.min(...unfinished.map((run) => run.endMs ?? endMs));
  return Math.max(lastStartMs - attempt.startMs, attempt.endMs - firstEndMs);
}

function checkGangs(
  ledger: ScenarioEvidence,
  attempts: readonly Attempt[],
): readonly BrokenPromise[] {
  return attempts
    .map((attempt) => ({
      attempt,
      partialMs: getLongestPartialMs(attempt, ledger.endMs),
    }))
    .filter(({ partialMs }) => partialMs > PARTIAL_BOUND_MS)
    .map(({ attempt, partialMs }) => ({
      promise: "gang_runs_whole",
      detail: `${attempt.jobId}: a part ran for ${partialMs} ms`,
    }));
}

function checkDomainsOut(ledger: ScenarioEvidence): readonly BrokenPromise[] {
  return ledger.outSpans.flatMap((span) =>
    ledger.runs
      .filter((run) => run.failureDomain === span.failureDomain)
      .filter((run) =>
        run.startMs > span.fromMs + DOMAIN_OUT_BOUND_MS &&
        run.startMs < span.toMs
      )
      .map((run): BrokenPromise => ({
        promise: "no_start_in_domain_out",
        detail: `${run.task.jobId} started ${
          run.startMs - span.fromMs
        } ms after out`,
      }))
  );
}

function checkRepeats(
  ledger: ScenarioEvidence,
  attempts: readonly Attempt[],
): readonly BrokenPromise[] {
  const breaches: BrokenPromise[] = [];
  for (const job of ledger.jobs) {
    const own = attempts.filter((attempt) => attempt.jobId === job.jobId);
    own.sort((left, right) => left.startMs - right.startMs);
    if (own.length > 1 && !job.idempotent && !job.canCheckpoint) {
      breaches.push({
        promise: "at_most_once",
        detail: `${job.jobId} ran ${own.length} times`,
      });
    }
    for (let index = 1; index < own.length; index++) {
      const overlapMs = (own[index - 1]?.endMs ?? 0) -
        (own[index]?.startMs ?? 0);
      if (overlapMs > 0) {
        breaches.push({
          promise: "one_attempt_at_a_time",
          detail: `${job.jobId} overlapped by ${overlapMs} ms`,
        });
      }
    }
  }
  return breaches;
}

function checkEpochs(ledger: ScenarioEvidence): readonly BrokenPromise[] {
  const highest = new Map<string, number>();
  const breaches: BrokenPromise[] = [];
  for (
    const run of [...ledger.runs].sort((left, right) =>
      left.startMs - right.startMs
    )
  ) {
    const known = highest.get(run.failureDomain) ?? 0;
    if (run.epoch < known) {
      breaches.push({
        promise: "epochs_in_order",
        detail:
          `${run.task.jobId} started under epoch ${run.epoch} after ${known}`,
      });
    }
    highest.set(run.failureDomain, Math.max(known, run.epoch));
  }
  return breaches;
}

function checkVersions(ledger: ScenarioEvidence): readonly BrokenPromise[] {
  const latest = new Map<string, number>();
  const breaches: BrokenPromise[] = [];
  for (const { entry, version } of ledger.versions) {
    const known = latest.get(entry) ?? 0;
    if (version < known) {
      breaches.push({
        promise: "configuration_never_reverts",
        detail: `${entry} went from ${known} to ${version}`,
      });
    }
    latest.set(entry, version);
  }
  return breaches;
}

function checkEnds(ledger: ScenarioEvidence): readonly BrokenPromise[] {
  if (!ledger.everyJobEnds) return [];
  return ledger.jobs
    .filter((job) => !["answered", "failed", "cancelled"].includes(job.state))
    .map((job) => ({
      promise: "every_job_ends",
      detail: `${job.jobId} is ${job.state}`,
    }));
}

/** Every breach found; none when all promises held. */
export function findBrokenPromises(
  ledger: ScenarioEvidence,
): readonly BrokenPromise[] {
  const attempts = listAttempts(ledger);
  return [
    ...checkGangs(ledger, attempts),
    ...checkDomainsOut(ledger),
    ...checkRepeats(ledger, attempts),
    ...checkEpochs(ledger),
    ...checkVersions(ledger),
    ...checkEnds(ledger),
  ];
}
