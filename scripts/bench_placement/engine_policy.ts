/** The project's own policy: one engine for each failure domain and homes chosen from summaries. */
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

const SUMMARY_PERIOD_MS = 1_000;
const REHOME_PERIOD_MS = 15_000;

interface WaitingJob {
  readonly job: EngineJob;
  home: FailureDomainName;
  homedAtMs: number;
  moves: number;
}

export class EnginePolicy implements ReplayPolicy {
  readonly name = "coltsfootpond";
  readonly #engines = new Map<FailureDomainName, PlacementEngine>();
  readonly #holders = new Map<string, Set<FailureDomainName>>();
  readonly #summaries = new Map<FailureDomainName, DomainSummary>();
  readonly #waiting = new Map<JobId, WaitingJob>();
  readonly #homes = new Map<JobId, FailureDomainName>();
  readonly #touched = new Set<FailureDomainName>();
  #decisionTimesMs: number[] = [];
  #summarisedAtMs = Number.NEGATIVE_INFINITY;
  #rehomedAtMs = 0;

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
    for (const { guarantee, failureDomain } of plan.holdings) {
      const holders = this.#holders.get(guarantee.organisation) ?? new Set();
      this.#holders.set(guarantee.organisation, holders.add(failureDomain));
    }
  }

  static create(declarations: Declarations): EnginePolicy {
    return new EnginePolicy(declarations);
  }

  submit(job: EngineJob, nowMs: number): void {
    this.#summarise(nowMs);
    const holders = job.priority === "urgent"
      ? this.#holders.get(job.organisation)
      : undefined;
    const home = chooseFailureDomain(
      job,
      this.#summaries,
      [...this.#engines.keys()],
      holders === undefined ? {} : { guaranteeDomains: holders },
    )!;
    const summary = this.#summaries.get(home)!;
    this.#summaries.set(home, subtractDemand(summary, job.shape));
    this.#wait(job, home, 0, 0, nowMs);
  }

  start(jobId: JobId, nowMs: number): void {
    const home = this.#homes.get(jobId)!;
    this.#waiting.delete(jobId);
    this.#engines.get(home)!.apply({ kind: "job_started", jobId }, nowMs);
  }

  end(
    job: EngineJob,
    outcome: { readonly finished: boolean; readonly ranMs: number },
    nowMs: number,
  ): void {
    const { jobId } = job;
    const home = this.#homes.get(jobId)!;
    this.#touched.add(home);
    this.#engines.get(home)!.apply({
      kind: "attempt_ended",
      jobId,
      end: outcome.finished ? "finished" : "stopped",
      requeue: !outcome.finished,
      ranMs: outcome.ranMs,
      workers: [],
    }, nowMs);
    if (outcome.finished) this.#homes.delete(jobId);
    else this.#waiting.set(jobId, { job, home, homedAtMs: nowMs, moves: 0 });
  }

  decide(nowMs: number): readonly PolicyDecision[] {
    this.#rehome(nowMs);
    const decisions: PolicyDecision[] = [];
    for (const [name, engine] of this.#engines) {
      const dueMs = engine.nextDecisionMs() ?? Number.POSITIVE_INFINITY;
      if (!this.#touched.has(name) && dueMs > nowMs) continue;
      const beganMs = performance.now();
      decisions.push(...engine.decide(nowMs));
      this.#decisionTimesMs.push(performance.now() - beganMs);
    }
    this.#touched.clear();
    return decisions;
  }

  nextDecisionMs(): number | undefined {
    const times = [...this.#engines.values()]
      .map((engine) => engine.nextDecisionMs())
      .filter((timeMs) => timeMs !== undefined);
    if (this.#waiting.size > 0) {
      times.push(this.#rehomedAtMs + REHOME_PERIOD_MS);
    }
    return times.length === 0 ? undefined : Math.min(...times);
  }

  takeDecisionTimesMs(): readonly number[] {
    const times = this.#decisionTimesMs;
    this.#decisionTimesMs = [];
    return times;
  }

  #wait(
    job: EngineJob,
    home: FailureDomainName,
    waitedMs: number,
    moves: number,
    nowMs: number,
  ): void {
    this.#homes.set(job.jobId, home);
    this.#waiting.set(job.jobId, { job, home, homedAtMs: nowMs, moves });
    this.#touched.add(home);
    const queued = { ...job, waitedMs };
    this.#engines.get(home)!.apply({ kind: "job_queued", job: queued }, nowMs);
  }

  #summarise(nowMs: number): void {
    if (nowMs - this.#summarisedAtMs < SUMMARY_PERIOD_MS) return;
    this.#summarisedAtMs = nowMs;
    for (const [name, engine] of this.#engines) {
      this.#summaries.set(name, engine.summarise());
    }
  }

  /** Offers waiting jobs another home, as the owners do from time to time. */
  #rehome(nowMs: number): void {
    if (nowMs - this.#rehomedAtMs < REHOME_PERIOD_MS) return;
    this.#rehomedAtMs = nowMs;
    this.#summarise(nowMs);
    for (const waiting of [...this.#waiting.values()]) {
      const { job, home, homedAtMs, moves } = waiting;
      if (job.priority === "urgent") continue;
      const waitedMs = nowMs - homedAtMs;
      const next = chooseNewFailureDomain({
        job,
        current: home,
        waitedMs,
        moves,
        summaries: this.#summaries,
        domainsInService: [...this.#engines.keys()],
      });
      if (next === undefined) continue;
      const { jobId } = job;
      this.#engines.get(home)!.apply({ kind: "job_withdrawn", jobId }, nowMs);
      this.#wait(job, next, job.waitedMs + waitedMs, moves + 1, nowMs);
    }
  }
}
