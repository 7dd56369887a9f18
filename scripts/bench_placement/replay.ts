/**
 * Replays a list of arrivals in virtual time through one policy's decisions, without processes or
 * network. Tracks allocations itself, so that a policy's mistakes are counted.
 */
import {
  type Declarations,
  type JobId,
  MS_PER_HOUR,
  MS_PER_SECOND,
} from "@coltsfootpond/common";
import type { Assignment, EngineJob } from "@coltsfootpond/policy";
import { performance } from "node:perf_hooks";
import { type Arrival, JOB_CLASS } from "./arrivals.ts";
import { AllocationTracker } from "./allocation_tracker.ts";
import { type PolicyReport, ReplayMetrics } from "./replay_metrics.ts";
import { EventQueue } from "./event_queue.ts";

/** A decision of a policy, in any failure domain. */
export type PolicyDecision =
  | {
    readonly kind: "place";
    readonly jobId: JobId;
    readonly assignments: readonly Assignment[];
  }
  | {
    readonly kind: "evict";
    readonly jobId: JobId;
    readonly reason: string;
    readonly checkpointMs: number;
  }
  | { readonly kind: "fail"; readonly jobId: JobId };

/** A placement policy under test, called by the replay with virtual time. */
export interface ReplayPolicy {
  readonly name: string;
  submit(job: EngineJob, nowMs: number): void;
  /** The job was placed as decided and runs. */
  start(jobId: JobId, nowMs: number): void;
  /** The job finished, or was evicted and waits again. */
  end(
    job: EngineJob,
    outcome: { readonly finished: boolean; readonly ranMs: number },
    nowMs: number,
  ): void;
  decide(nowMs: number): readonly PolicyDecision[];
  /** When `decide` must be called again even if no event occurs before. */
  nextDecisionMs(): number | undefined;
  /**
   * Durations of the single decisions in the last call of `decide`. Without this method, the duration
   * of the whole call is recorded.
   */
  takeDecisionTimesMs?(): readonly number[];
}

/** A job in the replay; `attempt` distinguishes its current run from earlier, evicted ones. */
interface JobRun {
  readonly arrival: Arrival;
  remainingRunMs: number;
  startedAtMs: number;
  attempt: number;
}

type ReplayEvent =
  | { readonly kind: "arrive"; readonly arrival: Arrival }
  | {
    readonly kind: "end";
    readonly jobId: JobId;
    readonly attempt: number;
    readonly finished: boolean;
  }
  | { readonly kind: "decide" };

const SAMPLE_PERIOD_MS = 60 * MS_PER_SECOND;
/** The replay stops this long after the arrival window, even if jobs are unfinished. */
const DRAIN_TIMEOUT_MS = 24 * MS_PER_HOUR;

/** What to replay; all jobs arrive before `windowMs`. */
export interface ReplayOptions {
  readonly declarations: Declarations;
  readonly arrivals: readonly Arrival[];
  readonly windowMs: number;
  readonly policy: ReplayPolicy;
}

/** One replay of the arrivals through one policy. */
export class Replay {
  readonly #options: ReplayOptions;
  readonly #events = EventQueue.create<ReplayEvent>();
  readonly #runs = new Map<JobId, JobRun>();
  readonly #allocations: AllocationTracker;
  readonly #metrics: ReplayMetrics;
  #sampledAtMs = 0;
  #scheduledDecisionMs = Number.POSITIVE_INFINITY;

  private constructor(options: ReplayOptions) {
    this.#options = options;
    this.#allocations = AllocationTracker.create(options.declarations);
    this.#metrics = ReplayMetrics.create(options.windowMs);
  }

  static run(options: ReplayOptions): PolicyReport {
    return new Replay(options).#run();
  }

  #run(): PolicyReport {
    const { arrivals, windowMs, policy } = this.#options;
    for (const arrival of arrivals) {
      this.#events.add(arrival.atMs, { kind: "arrive", arrival });
    }
    for (
      let atMs = this.#events.nextMs();
      atMs !== undefined && atMs < windowMs + DRAIN_TIMEOUT_MS;
      atMs = this.#events.nextMs()
    ) {
      this.#sampleUntil(atMs);
      for (const event of this.#events.takeDue(atMs)) {
        this.#handleEvent(event, atMs);
      }
      this.#decide(atMs);
    }
    for (const { arrival } of this.#runs.values()) {
      this.#metrics.recordUnfinished(arrival, windowMs + DRAIN_TIMEOUT_MS);
    }
    return this.#metrics.report(policy.name, this.#allocations.violations);
  }

  /** Takes the periodic samples that are due before `atMs`, within the arrival window. */
  #sampleUntil(atMs: number): void {
    const { windowMs } = this.#options;
    while (this.#sampledAtMs < atMs && this.#sampledAtMs < windowMs) {
      this.#metrics.sample(this.#sampledAtMs, this.#allocations);
      this.#sampledAtMs += SAMPLE_PERIOD_MS;
    }
  }

  #handleEvent(event: ReplayEvent, nowMs: number): void {
    const { policy } = this.#options;
    switch (event.kind) {
      case "arrive": {
        const { arrival } = event;
        const { jobId } = arrival.job;
        const remainingRunMs = arrival.runMs;
        this.#runs.set(jobId, {
          arrival,
          remainingRunMs,
          startedAtMs: 0,
          attempt: 0,
        });
        this.#allocations.countWaiting(arrival.job, 1);
        policy.submit(arrival.job, nowMs);
        return;
      }
      case "end":
        return this.#endRun(event.jobId, event.attempt, event.finished, nowMs);
      case "decide":
        return;
    }
  }

  #endRun(
    jobId: JobId,
    attempt: number,
    finished: boolean,
    nowMs: number,
  ): void {
    const run = this.#runs.get(jobId);
    if (run === undefined || run.attempt !== attempt) return;
    const { job } = run.arrival;
    const ranMs = nowMs - run.startedAtMs;
    run.attempt++;
    this.#allocations.remove(job);
    if (finished) {
      this.#runs.delete(jobId);
      this.#metrics.recordFinished(run.arrival, nowMs);
    } else {
      this.#metrics.recordEviction(job, ranMs);
      if (job.canCheckpoint) run.remainingRunMs -= ranMs;
      this.#allocations.countWaiting(job, 1);
    }
    this.#options.policy.end(job, { finished, ranMs }, nowMs);
  }

  #decide(nowMs: number): void {
    const { policy } = this.#options;
    const startMs = performance.now();
    const decisions = policy.decide(nowMs);
    const tookMs = performance.now() - startMs;
    const times = policy.takeDecisionTimesMs?.() ?? [tookMs];
    for (const timeMs of times) this.#metrics.recordDecision(timeMs);
    for (const decision of decisions) this.#applyDecision(decision, nowMs);
    const dueMs = policy.nextDecisionMs();
    if (dueMs === undefined) return;
    const decideAtMs = Math.max(dueMs, nowMs + (dueMs <= nowMs ? 1 : 0));
    const isDecisionScheduled = this.#scheduledDecisionMs > nowMs &&
      this.#scheduledDecisionMs <= decideAtMs;
    if (isDecisionScheduled) return;
    this.#scheduledDecisionMs = decideAtMs;
    this.#events.add(decideAtMs, { kind: "decide" });
  }

  #applyDecision(decision: PolicyDecision, nowMs: number): void {
    const run = this.#runs.get(decision.jobId);
    if (run === undefined) return;
    const { job, jobClass } = run.arrival;
    const { jobId } = job;
    switch (decision.kind) {
      case "place":
        this.#allocations.countWaiting(job, -1);
        this.#allocations.place(job, decision.assignments);
        run.startedAtMs = nowMs;
        this.#metrics.recordStart(run.arrival, nowMs);
        this.#options.policy.start(jobId, nowMs);
        this.#events.add(nowMs + run.remainingRunMs, {
          kind: "end",
          jobId,
          attempt: run.attempt,
          finished: true,
        });
        return;
      case "evict": {
        const isPinned = !job.canCheckpoint && !job.idempotent;
        if (isPinned && decision.reason === "reclaim") {
          this.#allocations.violations.pinnedEvicted++;
        }
        this.#events.add(nowMs + decision.checkpointMs, {
          kind: "end",
          jobId,
          attempt: run.attempt,
          finished: false,
        });
        return;
      }
      case "fail":
        this.#runs.delete(jobId);
        this.#allocations.countWaiting(job, -1);
        if (jobClass !== JOB_CLASS.URGENT) this.#metrics.recordRefusal();
        return;
    }
  }
}
