/** Replays the arrivals of one day through a policy and scores the outcome by the platform's rules. */
import { performance } from "node:perf_hooks";
import {
  type CellJobId,
  JobProgress,
  URGENT_PRIORITY,
  UrgentDemand,
} from "@coltsfootpond/policy";
import type { OrganisationGuarantee } from "@coltsfootpond/ports";
import {
  formatUnitKey,
  LiveJob,
  type Unit,
} from "../../packages/node/cell/live_job.ts";
import { AdmissionModel } from "./admission_model.ts";
import { CellModel, type EndedRun } from "./cell_model.ts";
import {
  type Arrival,
  ARRIVAL_WINDOW_MS,
  createArrivals,
  type Load,
} from "./arrivals.ts";
import {
  countAccelerators,
  type Deployment,
  DEPLOYMENTS,
} from "./deployments.ts";
import type { PlanInputOptions } from "../../packages/node/cell/plan_input.ts";
import type { DayPolicy } from "./policies.ts";
import { type JobResult, listOnTime, type Score, scoreDay } from "./score.ts";

/** Step of the simulated clock; small against the shortest runs of 0.5 s. */
const STEP_MS = 10;
/** Jobs that have not ended this long after the last possible arrival earn no value. */
const DRAIN_TIMEOUT_MS = 120_000;
/** Maximum time between two scheduling rounds, like the lease holder's periodic round. */
const ROUND_PERIOD_MS = 200;
/** A task of a job that always fails does so after this share of its run time. */
const ALWAYS_FAILS_AT_SHARE = 0.3;

/** Score and costs of one policy on one day. */
export interface DayReport extends Score {
  readonly policy: string;
  readonly evictions: number;
  /** Jobs that were refused at least once. */
  readonly refusedJobs: number;
  readonly refusedJobIds: readonly CellJobId[];
  /** Jobs that ended as expected within their objective. */
  readonly onTimeJobIds: readonly CellJobId[];
  readonly lostCoreSeconds: number;
  /** 99th percentile of the real time that a round takes to plan. */
  readonly decisionP99Ms: number;
}

interface ReplayedJob {
  readonly arrival: Arrival;
  readonly live: LiveJob;
}

function createGuarantees(
  deployment: Deployment,
): readonly OrganisationGuarantee[] {
  const accelerators = Math.round(
    countAccelerators(deployment) * deployment.guaranteedShare,
  );
  return deployment.organisations.map((organisation) => ({
    organisation,
    accelerators,
  }));
}

/** The state of one day while it is replayed. */
class Replay {
  readonly #policy: DayPolicy;
  readonly #deployment: Deployment;
  readonly #guarantees: readonly OrganisationGuarantee[];
  readonly #urgentDemand = UrgentDemand.create();
  readonly #cell: CellModel;
  readonly #admission: AdmissionModel | undefined;
  /** Refused jobs whose callers submit them again. */
  #returning: readonly { readonly arrival: Arrival; readonly atMs: number }[] =
    [];
  readonly #arrivals: readonly Arrival[];
  readonly #jobs = new Map<CellJobId, ReplayedJob>();
  readonly #results = new Map<CellJobId, JobResult>();
  readonly #decisionTimesMs: number[] = [];
  #nextArrivalIndex = 0;
  #admittedJobs = 0;
  #evictions = 0;
  #lostCoreSeconds = 0;
  #isRoundDue = false;
  #nextRoundMs = 0;

  private constructor(
    policy: DayPolicy,
    load: Load,
    seed: number,
    deployment: Deployment,
  ) {
    this.#policy = policy;
    this.#deployment = deployment;
    this.#guarantees = createGuarantees(deployment);
    this.#cell = CellModel.create(load, deployment);
    this.#admission = policy.hasAdmission ? AdmissionModel.create() : undefined;
    this.#arrivals = createArrivals(load, seed, deployment);
  }

  static create(
    policy: DayPolicy,
    load: Load,
    seed: number,
    deployment: Deployment,
  ): Replay {
    return new Replay(policy, load, seed, deployment);
  }

  run(): DayReport {
    for (
      let nowMs = 0;
      nowMs < ARRIVAL_WINDOW_MS + DRAIN_TIMEOUT_MS;
      nowMs += STEP_MS
    ) {
      this.#admission?.publish(nowMs, () => this.#createPlanOptions(nowMs));
      this.#submitArrivals(nowMs);
      this.#cancelJobs(nowMs);
      for (const ended of this.#cell.advance(nowMs, STEP_MS)) {
        this.#handleRunEnd(ended, nowMs);
      }
      if (this.#isRoundDue || nowMs >= this.#nextRoundMs) this.#runRound(nowMs);
      const isOver = this.#nextArrivalIndex === this.#arrivals.length &&
        this.#returning.length === 0 && this.#jobs.size === 0 &&
        this.#cell.isIdle;
      if (isOver) break;
    }
    return this.#report();
  }

  #submitArrivals(nowMs: number): void {
    const due = this.#returning.filter(({ atMs }) => atMs <= nowMs);
    this.#returning = this.#returning.filter(({ atMs }) => atMs > nowMs);
    for (const { arrival } of due) this.#submit(arrival, nowMs);
    for (;;) {
      const arrival = this.#arrivals[this.#nextArrivalIndex];
      if (arrival === undefined || arrival.atMs > nowMs) return;
      this.#nextArrivalIndex++;
      this.#submit(arrival, nowMs);
    }
  }

  #submit(arrival: Arrival, nowMs: number): void {
    const spec = { ...arrival.spec, acceptedUnixMs: nowMs };
    const decision = this.#admission?.decide(spec, this.#guarantees);
    if (decision?.kind === "return") {
      const { atMs } = decision;
      this.#returning = [...this.#returning, { arrival, atMs }];
    }
    if (decision !== undefined && decision.kind !== "admit") return;
    const live = LiveJob.create({
      spec,
      progress: JobProgress.create(spec),
      rowVersion: ++this.#admittedJobs,
      progressVersion: 0,
    });
    live.openDueUnits(nowMs, nowMs);
    if (spec.priority === URGENT_PRIORITY) this.#urgentDemand.record(spec);
    this.#jobs.set(spec.jobId, { arrival, live });
    this.#isRoundDue = true;
  }

  #cancelJobs(nowMs: number): void {
    for (const { arrival, live } of [...this.#jobs.values()]) {
      const { cancelAfterMs, atMs } = arrival;
      if (cancelAfterMs === undefined || nowMs < atMs + cancelAfterMs) continue;
      this.#endJob({ arrival, live }, nowMs, "cancelled");
    }
  }

  #handleRunEnd(
    { unit, run, end, lostCoreSeconds }: EndedRun,
    nowMs: number,
  ): void {
    const { job, address } = unit;
    this.#lostCoreSeconds += lostCoreSeconds;
    this.#isRoundDue = true;
    unit.waitingSinceMs = nowMs;
    const replayed = this.#jobs.get(job.jobId);
    if (replayed === undefined) return;
    if (end === "done") {
      job.progress.recordDone(address);
      job.units.delete(formatUnitKey(address));
      job.openDueUnits(nowMs, nowMs);
      if (job.progress.isComplete()) this.#endJob(replayed, nowMs, "completed");
    } else if (end === "failed") {
      job.progress.recordFailure(address, run);
      if (job.progress.isFailed()) this.#endJob(replayed, nowMs, "failed");
    }
  }

  #endJob(
    { arrival, live }: ReplayedJob,
    nowMs: number,
    state: JobResult["state"],
  ): void {
    this.#jobs.delete(live.jobId);
    this.#results.set(live.jobId, {
      arrival,
      state,
      tookMs: nowMs - arrival.atMs,
    });
    for (const unit of live.units.values()) this.#cell.stop(unit, nowMs);
  }

  #runRound(nowMs: number): void {
    this.#isRoundDue = false;
    this.#nextRoundMs = nowMs + ROUND_PERIOD_MS;
    const startMs = performance.now();
    const plan = this.#policy.decide(this.#createPlanOptions(nowMs));
    this.#decisionTimesMs.push(performance.now() - startMs);
    for (const { unit } of plan.evictions) {
      this.#evictions++;
      this.#cell.stop(unit, nowMs);
    }
    for (const { unit, workers } of plan.placements) {
      const actualRun = this.#getActualRun(unit);
      this.#cell.start(unit, workers, actualRun, nowMs);
    }
  }

  #createPlanOptions(nowMs: number): PlanInputOptions {
    return {
      jobs: [...this.#jobs.values()].map(({ live }) => live),
      workers: this.#cell.createWorkerViews(this.#policy.speeds),
      guarantees: this.#guarantees,
      nowMs,
      nowUnixMs: nowMs,
      urgentRatesPerS: this.#urgentDemand.computeRatesPerS(nowMs),
      stopLimitMs: this.#deployment.stopDelayMs,
      isBlocked: () => false,
    };
  }

  #getActualRun(unit: Unit) {
    const { arrival } = this.#jobs.get(unit.job.jobId)!;
    const { step, index } = unit.address;
    const fullRunMs = arrival.runsMs[step]?.[index] ?? unit.step.estimateMs;
    if (arrival.alwaysFails) {
      return { fullRunMs, failsAtShare: ALWAYS_FAILS_AT_SHARE };
    }
    const isFirstRun = unit.job.progress.countFailures(unit.address) === 0;
    const failsAtShare = isFirstRun ? arrival.firstRunFailsAtShare : 1;
    return { fullRunMs, failsAtShare };
  }

  #report(): DayReport {
    const results = this.#arrivals.map((arrival) =>
      this.#results.get(arrival.spec.jobId) ??
        { arrival, state: "open" as const, tookMs: Infinity }
    );
    const refusedJobIds = this.#admission?.refusedJobIds ?? [];
    const sortedDecisionTimesMs = [...this.#decisionTimesMs].sort(
      (one, other) => one - other,
    );
    return {
      policy: this.#policy.name,
      ...scoreDay(results, this.#lostCoreSeconds),
      evictions: this.#evictions,
      refusedJobs: refusedJobIds.length,
      refusedJobIds,
      onTimeJobIds: listOnTime(results),
      lostCoreSeconds: Math.round(this.#lostCoreSeconds),
      decisionP99Ms: sortedDecisionTimesMs[
        Math.floor(sortedDecisionTimesMs.length * 0.99)
      ] ?? 0,
    };
  }
}

/** Replays the day of the given load and seed; all but decisionP99Ms is the same in every replay. */
export function replayDay(
  policy: DayPolicy,
  load: Load,
  seed: number,
  deployment: Deployment = DEPLOYMENTS.small,
): DayReport {
  return Replay.create(policy, load, seed, deployment).run();
}
