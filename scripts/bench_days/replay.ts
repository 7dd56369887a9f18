/** Replays one day's arrivals through a policy and scores it by the users' way of counting. */
import { performance } from "node:perf_hooks";
import { type CellJobId, JobProgress } from "@coltsfootpond/policy";
import type { OrganisationGuarantee } from "@coltsfootpond/ports";
import {
  formatUnitKey,
  LiveJob,
  type Unit,
} from "../../packages/node/cell/live_job.ts";
import { CELL_ACCELERATORS, CellModel, type EndedRun } from "./cell_model.ts";
import {
  type Arrival,
  createArrivals,
  type Load,
  ORGANISATIONS,
  WINDOW_MS,
} from "./arrivals.ts";
import type { DayPolicy } from "./policies.ts";
import { type JobResult, type Score, scoreDay } from "./score.ts";

/** Fine against the shortest runs of 0.5 s. */
const STEP_MS = 10;
/** Jobs that have not ended this long after the last arrival have earned nothing. */
const DRAIN_MS = 120_000;
/** A round is planned at least this often, as the holder's tick. */
const ROUND_PERIOD_MS = 200;
/** Of all accelerators, for each of the four organisations. */
const GUARANTEED_SHARE = 0.15;
/** A hopeless task fails after this share of its run. */
const HOPELESS_AT_SHARE = 0.3;

export interface DayReport extends Score {
  readonly policy: string;
  readonly evictions: number;
  readonly lostCoreSeconds: number;
  readonly decisionP99Ms: number;
}

interface ReplayedJob {
  readonly arrival: Arrival;
  readonly live: LiveJob;
}

const GUARANTEES: readonly OrganisationGuarantee[] = ORGANISATIONS.map(
  (organisation) => ({
    organisation,
    accelerators: Math.round(CELL_ACCELERATORS * GUARANTEED_SHARE),
  }),
);

/** One day in progress. */
class Replay {
  readonly #policy: DayPolicy;
  readonly #cell: CellModel;
  readonly #arrivals: readonly Arrival[];
  readonly #jobs = new Map<CellJobId, ReplayedJob>();
  readonly #results = new Map<CellJobId, JobResult>();
  readonly #decisionsMs: number[] = [];
  #next = 0;
  #evictions = 0;
  #lostCoreSeconds = 0;
  #isRoundDue = false;
  #roundMs = 0;

  private constructor(policy: DayPolicy, load: Load, seed: number) {
    this.#policy = policy;
    this.#cell = CellModel.create(load);
    this.#arrivals = createArrivals(load, seed);
  }

  static create(policy: DayPolicy, load: Load, seed: number): Replay {
    return new Replay(policy, load, seed);
  }

  run(): DayReport {
    for (let nowMs = 0; nowMs < WINDOW_MS + DRAIN_MS; nowMs += STEP_MS) {
      this.#takeArrivals(nowMs);
      this.#cancelJobs(nowMs);
      for (const ended of this.#cell.advance(nowMs, STEP_MS)) {
        this.#takeEnd(ended, nowMs);
      }
      if (this.#isRoundDue || nowMs >= this.#roundMs) this.#round(nowMs);
      const isOver = this.#next === this.#arrivals.length &&
        this.#jobs.size === 0 && this.#cell.isIdle;
      if (isOver) break;
    }
    return this.#report();
  }

  #takeArrivals(nowMs: number): void {
    for (;;) {
      const arrival = this.#arrivals[this.#next];
      if (arrival === undefined || arrival.atMs > nowMs) return;
      this.#next++;
      const { spec } = arrival;
      const live = LiveJob.create({
        spec,
        progress: JobProgress.create(spec),
        rowVersion: this.#next,
        progressVersion: 0,
      });
      live.openDueUnits(nowMs, nowMs);
      this.#jobs.set(spec.jobId, { arrival, live });
      this.#isRoundDue = true;
    }
  }

  #cancelJobs(nowMs: number): void {
    for (const { arrival, live } of [...this.#jobs.values()]) {
      const { cancelAfterMs, atMs } = arrival;
      if (cancelAfterMs === undefined || nowMs < atMs + cancelAfterMs) continue;
      this.#end({ arrival, live }, nowMs, "cancelled");
    }
  }

  #takeEnd({ unit, run, end, lostCoreSeconds }: EndedRun, nowMs: number): void {
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
      if (job.progress.isComplete()) this.#end(replayed, nowMs, "completed");
    } else if (end === "failed") {
      job.progress.recordFailure(address, run);
      if (job.progress.isFailed()) this.#end(replayed, nowMs, "failed");
    }
  }

  #end(
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

  #round(nowMs: number): void {
    this.#isRoundDue = false;
    this.#roundMs = nowMs + ROUND_PERIOD_MS;
    const beganMs = performance.now();
    const plan = this.#policy.decide({
      jobs: [...this.#jobs.values()].map(({ live }) => live),
      workers: this.#cell.createViews(),
      guarantees: GUARANTEES,
      nowMs,
      nowUnixMs: nowMs,
      isBlocked: () => false,
    });
    this.#decisionsMs.push(performance.now() - beganMs);
    for (const unit of plan.evictions) {
      this.#evictions++;
      this.#cell.stop(unit, nowMs);
    }
    for (const { unit, workers } of plan.placements) {
      const truth = this.#getTruth(unit);
      this.#cell.start(unit, workers, truth, nowMs);
    }
  }

  #getTruth(unit: Unit) {
    const { arrival } = this.#jobs.get(unit.job.jobId)!;
    const { step, index } = unit.address;
    const goalMs = arrival.runsMs[step]?.[index] ?? unit.step.estimateMs;
    if (arrival.isHopeless) {
      return { goalMs, failsAtShare: HOPELESS_AT_SHARE };
    }
    const isFirst = unit.job.progress.countFailures(unit.address) === 0;
    const failsAtShare = isFirst ? arrival.firstRunFailsAtShare : 1;
    return { goalMs, failsAtShare };
  }

  #report(): DayReport {
    const results = this.#arrivals.map((arrival) =>
      this.#results.get(arrival.spec.jobId) ??
        { arrival, state: "open" as const, tookMs: Infinity }
    );
    const decisions = [...this.#decisionsMs].sort((one, other) => one - other);
    return {
      policy: this.#policy.name,
      ...scoreDay(results, this.#lostCoreSeconds),
      evictions: this.#evictions,
      lostCoreSeconds: Math.round(this.#lostCoreSeconds),
      decisionP99Ms: decisions[Math.floor(decisions.length * 0.99)] ?? 0,
    };
  }
}

/** One day of one policy. */
export function replayDay(
  policy: DayPolicy,
  load: Load,
  seed: number,
): DayReport {
  return Replay.create(policy, load, seed).run();
}
