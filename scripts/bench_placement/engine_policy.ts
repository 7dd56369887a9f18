/**
 * Runs coltsfootpond's placement in the replay: one placement engine for each failure domain. A job's
 * failure domain is chosen from summaries of the engines, as the entries do.
 */
import type {
  Declarations,
  FailureDomainName,
  JobId,
} from "@coltsfootpond/common";
import {
  chooseFailureDomain,
  chooseNewFailureDomain,
  createPlacementEngine,
  type DomainSummary,
  type EngineJob,
  listDomainGuarantees,
  type PlacementEngine,
  planGuarantees,
  subtractDemand,
} from "@coltsfootpond/policy";
import { performance } from "node:perf_hooks";
import type { PolicyDecision, ReplayPolicy } from "./replay.ts";

/** The summaries that choices use are at most this old. */
const SUMMARY_PERIOD_MS = 1_000;
/** Waiting jobs are considered for a move this often. */
const MOVE_PERIOD_MS = 15_000;

/** A job that waits in the engine of its failure domain. */
interface WaitingJob {
  readonly job: EngineJob;
  failureDomain: FailureDomainName;
  queuedAtMs: number;
  /** How often the job has moved to another failure domain. */
  moves: number;
}

/** Coltsfootpond's own policy, behind the replay's interface. */
export class EnginePolicy implements ReplayPolicy {
  readonly name = "coltsfootpond";
  readonly #engines = new Map<FailureDomainName, PlacementEngine>();
  readonly #guaranteeDomains = new Map<string, Set<FailureDomainName>>();
  readonly #summaries = new Map<FailureDomainName, DomainSummary>();
  readonly #waiting = new Map<JobId, WaitingJob>();
  readonly #domainByJob = new Map<JobId, FailureDomainName>();
  readonly #changedDomains = new Set<FailureDomainName>();
  #decisionTimesMs: number[] = [];
  #summarisedAtMs = Number.NEGATIVE_INFINITY;
  #movedAtMs = 0;

  private constructor(declarations: Declarations) {
    const plan = planGuarantees(declarations, []);
    if (plan.problems.length > 0) throw new Error(plan.problems[0]!.detail);
    for (const { name, racks } of declarations.failureDomains) {
      const engine = createPlacementEngine();
      this.#engines.set(name, engine);
      for (const rack of racks) {
        for (const worker of rack.workers) {
          const up = { ...worker, rack: rack.name };
          engine.apply({ kind: "worker_up", worker: up }, 0);
        }
      }
      engine.apply({
        kind: "configuration",
        guarantees: listDomainGuarantees(plan, name),
        organisations: declarations.organisations,
      }, 0);
      engine.decide(0);
    }
    for (const { guarantee, failureDomain } of plan.assignments) {
      const guaranteeDomains =
        this.#guaranteeDomains.get(guarantee.organisation) ?? new Set();
      this.#guaranteeDomains.set(
        guarantee.organisation,
        guaranteeDomains.add(failureDomain),
      );
    }
  }

  static create(declarations: Declarations): EnginePolicy {
    return new EnginePolicy(declarations);
  }

  submit(job: EngineJob, nowMs: number): void {
    this.#summarise(nowMs);
    const coveringDomains = job.priority === "urgent"
      ? this.#guaranteeDomains.get(job.organisation)
      : undefined;
    const failureDomain = chooseFailureDomain(
      job,
      this.#summaries,
      [...this.#engines.keys()],
      coveringDomains === undefined
        ? {}
        : { guaranteeDomains: coveringDomains },
    )!;
    const summary = this.#summaries.get(failureDomain)!;
    this.#summaries.set(failureDomain, subtractDemand(summary, job.shape));
    this.#enqueue(job, failureDomain, 0, 0, nowMs);
  }

  start(jobId: JobId, nowMs: number): void {
    const failureDomain = this.#domainByJob.get(jobId)!;
    this.#waiting.delete(jobId);
    this.#engines.get(failureDomain)!.apply(
      { kind: "job_started", jobId },
      nowMs,
    );
  }

  end(
    job: EngineJob,
    outcome: { readonly finished: boolean; readonly ranMs: number },
    nowMs: number,
  ): void {
    const { jobId } = job;
    const failureDomain = this.#domainByJob.get(jobId)!;
    this.#changedDomains.add(failureDomain);
    this.#engines.get(failureDomain)!.apply({
      kind: "attempt_ended",
      jobId,
      end: outcome.finished ? "finished" : "stopped",
      requeue: !outcome.finished,
      ranMs: outcome.ranMs,
      workers: [],
    }, nowMs);
    if (outcome.finished) this.#domainByJob.delete(jobId);
    else {
      this.#waiting.set(jobId, {
        job,
        failureDomain,
        queuedAtMs: nowMs,
        moves: 0,
      });
    }
  }

  decide(nowMs: number): readonly PolicyDecision[] {
    this.#moveWaitingJobs(nowMs);
    const decisions: PolicyDecision[] = [];
    for (const [name, engine] of this.#engines) {
      const dueMs = engine.nextDecisionMs() ?? Number.POSITIVE_INFINITY;
      if (!this.#changedDomains.has(name) && dueMs > nowMs) continue;
      const startMs = performance.now();
      decisions.push(...engine.decide(nowMs));
      this.#decisionTimesMs.push(performance.now() - startMs);
    }
    this.#changedDomains.clear();
    return decisions;
  }

  nextDecisionMs(): number | undefined {
    const times = [...this.#engines.values()]
      .map((engine) => engine.nextDecisionMs())
      .filter((timeMs) => timeMs !== undefined);
    if (this.#waiting.size > 0) {
      times.push(this.#movedAtMs + MOVE_PERIOD_MS);
    }
    return times.length === 0 ? undefined : Math.min(...times);
  }

  takeDecisionTimesMs(): readonly number[] {
    const times = this.#decisionTimesMs;
    this.#decisionTimesMs = [];
    return times;
  }

  /** Queues the job at the engine of the failure domain. */
  #enqueue(
    job: EngineJob,
    failureDomain: FailureDomainName,
    waitedMs: number,
    moves: number,
    nowMs: number,
  ): void {
    this.#domainByJob.set(job.jobId, failureDomain);
    this.#waiting.set(job.jobId, {
      job,
      failureDomain,
      queuedAtMs: nowMs,
      moves,
    });
    this.#changedDomains.add(failureDomain);
    const queued = { ...job, waitedMs };
    this.#engines.get(failureDomain)!.apply(
      { kind: "job_queued", job: queued },
      nowMs,
    );
  }

  #summarise(nowMs: number): void {
    if (nowMs - this.#summarisedAtMs < SUMMARY_PERIOD_MS) return;
    this.#summarisedAtMs = nowMs;
    for (const [name, engine] of this.#engines) {
      this.#summaries.set(name, engine.summarise());
    }
  }

  /** Moves waiting jobs to a better failure domain, as the owners do periodically. */
  #moveWaitingJobs(nowMs: number): void {
    if (nowMs - this.#movedAtMs < MOVE_PERIOD_MS) return;
    this.#movedAtMs = nowMs;
    this.#summarise(nowMs);
    for (const waiting of [...this.#waiting.values()]) {
      const { job, failureDomain, queuedAtMs, moves } = waiting;
      if (job.priority === "urgent") continue;
      const waitedMs = nowMs - queuedAtMs;
      const next = chooseNewFailureDomain({
        job,
        current: failureDomain,
        waitedMs,
        moves,
        summaries: this.#summaries,
        domainsInService: [...this.#engines.keys()],
      });
      if (next === undefined) continue;
      const { jobId } = job;
      this.#engines.get(failureDomain)!.apply(
        { kind: "job_withdrawn", jobId },
        nowMs,
      );
      this.#enqueue(job, next, job.waitedMs + waitedMs, moves + 1, nowMs);
    }
  }
}
