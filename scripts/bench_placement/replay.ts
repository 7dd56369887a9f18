/**
 * Replays a list of arrivals in virtual time through one policy's decisions, with no processes and
 * no network, and keeps its own account of what runs.
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

/** What a policy decides, whichever failure domain it is in. */
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

/** A placement policy as the replay drives it. */
export interface ReplayPolicy {
  readonly name: string;
  submit(job: EngineJob, nowMs: number): void;
  start(jobId: JobId, nowMs: number): void;
  end(
    job: EngineJob,
    outcome: { readonly finished: boolean; readonly ranMs: number },
    nowMs: number,
  ): void;
  decide(nowMs: number): readonly PolicyDecision[];
  /** When it wants to decide again without an event. */
  nextDecisionMs(): number | undefined;
  /** Times of the single decisions of the last call, in milliseconds. */
  takeDecisionTimesMs?(): readonly number[];
}

interface JobRun {
  readonly arrival: Arrival;
  restMs: number;
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

const SAMPLE_MS = 60 * MS_PER_SECOND;
/** The replay stops this long after the last arrival, finished or not. */
const TAIL_MS = 24 * MS_PER_HOUR;

export interface ReplayOptions {
  readonly declarations: Declarations;
  readonly arrivals: readonly Arrival[];
  readonly windowMs: number;
  readonly policy: ReplayPolicy;
}

export class Replay {
  readonly #options: ReplayOptions;
  readonly #events = EventQueue.create<ReplayEvent>();
  readonly #runs = new Map<JobId, JobRun>();
  readonly #ledger: AllocationTracker;
  readonly #measures: ReplayMetrics;
  #sampledAtMs = 0;
  #plannedDecisionMs = Number.POSITIVE_INFINITY;

  private constructor(options: ReplayOptions) {
    this.#options = options;
    this.#ledger = AllocationTracker.create(options.declarations);
    this.#measures = ReplayMetrics.create(options.windowMs);
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
      atMs !== undefined && atMs < windowMs + TAIL_MS;
      atMs = this.#events.nextMs()
    ) {
      this.#sampleUntil(atMs);
      for (const event of this.#events.takeDue(atMs)) this.#act(event, atMs);
      this.#decide(atMs);
    }
    for (const { arrival } of this.#runs.values()) {
      this.#measures.noteUnfinished(arrival, windowMs + TAIL_MS);
    }
    return this.#measures.report(policy.name, this.#ledger.violations);
  }

  #sampleUntil(atMs: number): void {
    const { windowMs } = this.#options;
    while (this.#sampledAtMs < atMs && this.#sampledAtMs < windowMs) {
      this.#measures.sample(this.#sampledAtMs, this.#ledger);
      this.#sampledAtMs += SAMPLE_MS;
    }
  }

  #act(event: ReplayEvent, nowMs: number): void {
    const { policy } = this.#options;
    switch (event.kind) {
      case "arrive": {
        const { arrival } = event;
        const { jobId } = arrival.job;
        const restMs = arrival.runMs;
        this.#runs.set(jobId, { arrival, restMs, startedAtMs: 0, attempt: 0 });
        this.#ledger.noteWaiting(arrival.job, 1);
        policy.submit(arrival.job, nowMs);
        return;
      }
      case "end":
        return this.#end(event.jobId, event.attempt, event.finished, nowMs);
      case "decide":
        return;
    }
  }

  #end(jobId: JobId, attempt: number, finished: boolean, nowMs: number): void {
    const run = this.#runs.get(jobId);
    if (run === undefined || run.attempt !== attempt) return;
    const { job } = run.arrival;
    const ranMs = nowMs - run.startedAtMs;
    run.attempt++;
    this.#ledger.remove(job);
    if (finished) {
      this.#runs.delete(jobId);
      this.#measures.noteFinished(run.arrival, nowMs);
    } else {
      this.#measures.noteEviction(job, ranMs);
      if (job.canCheckpoint) run.restMs -= ranMs;
      this.#ledger.noteWaiting(job, 1);
    }
    this.#options.policy.end(job, { finished, ranMs }, nowMs);
  }

  #decide(nowMs: number): void {
    const { policy } = this.#options;
    const beganMs = performance.now();
    const decisions = policy.decide(nowMs);
    const tookMs = performance.now() - beganMs;
    const times = policy.takeDecisionTimesMs?.() ?? [tookMs];
    for (const timeMs of times) this.#measures.noteDecision(timeMs);
    for (const decision of decisions) this.#carryOut(decision, nowMs);
    const dueMs = policy.nextDecisionMs();
    if (dueMs === undefined) return;
    const planMs = Math.max(dueMs, nowMs + (dueMs <= nowMs ? 1 : 0));
    const stands = this.#plannedDecisionMs > nowMs &&
      this.#plannedDecisionMs <= planMs;
    if (stands) return;
    this.#plannedDecisionMs = planMs;
    this.#events.add(planMs, { kind: "decide" });
  }

  #carryOut(decision: PolicyDecision, nowMs: number): void {
    const run = this.#runs.get(decision.jobId);
    if (run === undefined) return;
    const { job, jobClass } = run.arrival;
    const { jobId } = job;
    switch (decision.kind) {
      case "place":
        this.#ledger.noteWaiting(job, -1);
        this.#ledger.place(job, decision.assignments);
        run.startedAtMs = nowMs;
        this.#measures.noteStart(run.arrival, nowMs);
        this.#options.policy.start(jobId, nowMs);
        this.#events.add(nowMs + run.restMs, {
          kind: "end",
          jobId,
          attempt: run.attempt,
          finished: true,
        });
        return;
      case "evict": {
        const isPinned = !job.canCheckpoint && !job.idempotent;
        if (isPinned && decision.reason === "reclaim") {
          this.#ledger.violations.pinnedEvicted++;
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
        this.#ledger.noteWaiting(job, -1);
        if (jobClass !== JOB_CLASS.URGENT) this.#measures.noteRefusal();
        return;
    }
  }
}
