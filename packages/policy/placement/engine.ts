/** The placement engine of one failure domain: takes in events and gives out decisions. */
import {
  assertNever,
  type JobId,
  type WorkerName,
} from "@coltsfootpond/common";
import {
  type Decision,
  type DomainSummary,
  type EngineEvent,
  type PlacementEngine,
  type UnplacedGuarantee,
  WAIT_REASON,
  type WaitReason,
} from "../types.ts";
import { type AttemptEnded, AttemptEndHandler } from "./attempt_end_handler.ts";
import { BorrowedPlacer } from "./borrowed_placement.ts";
import { MAXIMUM_QUEUED_JOBS } from "./constants.ts";
import { Compaction } from "./compaction.ts";
import { DecisionRound } from "./decision_round.ts";
import { summariseDomain } from "./domain_summary.ts";
import { RunTimeEstimator } from "./run_time_estimator.ts";
import { GuaranteedPlacer } from "./guaranteed_placement.ts";
import { BackfillReservations } from "./backfill_reservations.ts";
import {
  createJobRecord,
  getReservationTimeMs,
  isPlaced,
  JOB_PHASE,
  type JobRecord,
} from "./job_record.ts";
import { JobQueue } from "./job_queue.ts";
import { restoreJob } from "./job_restoration.ts";
import { PlacementState } from "./placement_state.ts";
import { RunDeadlines } from "./run_deadlines.ts";
import { WorkerHealthTracker } from "./worker_health.ts";

export interface PlacementEngineOptions {
  /** Waiting jobs beyond this many are refused. */
  readonly maximumQueuedJobs?: number;
}

class Engine implements PlacementEngine {
  readonly #maximumQueuedJobs: number;
  readonly #queue = JobQueue.create();
  readonly #estimator = RunTimeEstimator.create();
  readonly #state: PlacementState;
  readonly #reservations: BackfillReservations;
  readonly #compaction: Compaction;
  readonly #round: DecisionRound;
  readonly #limits: RunDeadlines;
  readonly #outcomes: AttemptEndHandler;
  #pending: Decision[] = [];
  #planIsStale = false;
  #isOut = false;
  #drainByMs = 0;
  #hasMore = false;
  #lastDecisionMs = 0;

  private constructor(options: PlacementEngineOptions) {
    this.#maximumQueuedJobs = options.maximumQueuedJobs ?? MAXIMUM_QUEUED_JOBS;
    this.#state = PlacementState.create({
      onUnclaimed: (record) => this.#queue.add(record),
    });
    const health = WorkerHealthTracker.create();
    this.#limits = RunDeadlines.create(this.#state.records);
    this.#outcomes = AttemptEndHandler.create({
      state: this.#state,
      health,
      estimator: this.#estimator,
      onCapacityChange: () => this.#noteCapacityChange(),
    });
    this.#reservations = BackfillReservations.create(this.#state);
    this.#compaction = Compaction.create(this.#state, this.#reservations);
    this.#round = DecisionRound.create({
      state: this.#state,
      queue: this.#queue,
      guaranteed: GuaranteedPlacer.create({
        state: this.#state,
        reservations: this.#reservations,
      }),
      borrowed: BorrowedPlacer.create({
        state: this.#state,
        reservations: this.#reservations,
        health,
      }),
      reservations: this.#reservations,
      compaction: this.#compaction,
      estimator: this.#estimator,
      health,
    });
  }

  static create(options: PlacementEngineOptions): Engine {
    return new Engine(options);
  }

  apply(event: EngineEvent, nowMs: number): void {
    switch (event.kind) {
      case "worker_up":
        this.#state.capacity.bringUp(event.worker);
        this.#noteCapacityChange();
        return;
      case "worker_down":
        return this.#takeWorkerDown(event.worker);
      case "configuration":
        this.#configure(event);
        return;
      case "domain_in":
        this.#isOut = false;
        this.#state.incrementVersion();
        return;
      case "domain_out":
        this.#isOut = true;
        this.#drainByMs = nowMs + event.drainMs;
        this.#drain(nowMs, this.#pending);
        return;
      case "job_queued":
        return this.#enqueue(createJobRecord(event.job, nowMs));
      case "job_restored":
        return this.#restore(event, nowMs);
      case "job_started":
        return this.#noteStart(event.jobId, nowMs);
      case "job_withdrawn":
        return this.#withdraw(event.jobId);
      case "attempt_ended":
        return this.#endAttempt(event, nowMs);
      default:
        return assertNever(event);
    }
  }

  decide(nowMs: number): readonly Decision[] {
    this.#lastDecisionMs = nowMs;
    this.#repairPlan();
    const decisions = this.#pending;
    this.#pending = [];
    this.#limits.evictOverruns(nowMs, decisions);
    this.#hasMore = false;
    if (this.#isOut) {
      this.#drain(nowMs, decisions);
      return decisions;
    }
    this.#outcomes.checkTimers(nowMs);
    this.#hasMore = this.#round.run(nowMs, decisions);
    return decisions;
  }

  getWaitReason(jobId: JobId): WaitReason {
    const record = this.#state.records.get(jobId);
    if (record === undefined || isPlaced(record)) {
      return WAIT_REASON.NOT_WAITING;
    }
    if (this.#isOut) return WAIT_REASON.DOMAIN_OUT;
    if (record.phase === JOB_PHASE.CLAIMING) return WAIT_REASON.RECLAIMING;
    return this.#queue.get(record)?.reason ?? WAIT_REASON.NOT_LOOKED_AT;
  }

  listUnplacedGuarantees(): readonly UnplacedGuarantee[] {
    this.#repairPlan();
    return this.#state.plan.listUnplacedUnits().map((
      { guarantee, ordinal },
    ) => ({
      guarantee: guarantee.name,
      organisation: guarantee.organisation,
      ordinal,
      resultName: "GUARANTEE_IMPOSSIBLE",
    }));
  }

  summarise(): DomainSummary {
    return summariseDomain({
      state: this.#state,
      queue: this.#queue,
      reservations: this.#reservations,
    });
  }

  nextDecisionMs(): number | undefined {
    const candidates = [
      this.#hasMore || this.#pending.length > 0
        ? this.#lastDecisionMs
        : undefined,
      this.#limits.nextDueMs(),
      this.#isOut && this.#state.runningTasks > 0 ? this.#drainByMs : undefined,
      this.#queue.size > 0 ? this.#nextQueueTimeMs() : undefined,
      this.#isOut ? undefined : this.#compaction.nextDueMs(),
    ].filter((timeMs) => timeMs !== undefined);
    return candidates.length === 0 ? undefined : Math.min(...candidates);
  }

  #nextQueueTimeMs(): number | undefined {
    if (this.#isOut) return undefined;
    const candidates = [this.#outcomes.nextTimerMs()];
    for (const jobClass of this.#queue.classes) {
      const head = this.#queue.peek(jobClass);
      if (head === undefined) continue;
      const dueMs = getReservationTimeMs(head);
      if (dueMs > this.#lastDecisionMs) candidates.push(dueMs);
    }
    const times = candidates.filter((timeMs) => timeMs !== undefined);
    return times.length === 0 ? undefined : Math.min(...times);
  }

  #configure(
    event: Extract<EngineEvent, { readonly kind: "configuration" }>,
  ): void {
    this.#state.setOrganisations(event.organisations);
    for (const { shape } of event.guarantees) this.#learnShape(shape);
    this.#state.plan.configure(event.guarantees);
    this.#state.incrementVersion();
  }

  #learnShape(shape: JobRecord["job"]["shape"]): void {
    const { fragmentation, capacity } = this.#state;
    if (fragmentation.addTarget(shape)) {
      fragmentation.recountAll(capacity.workers);
    }
  }

  #takeWorkerDown(name: WorkerName): void {
    const worker = this.#state.capacity.bringDown(name);
    if (worker === undefined) return;
    this.#outcomes.forget(worker);
    this.#noteCapacityChange();
  }

  #noteCapacityChange(): void {
    this.#planIsStale = true;
    this.#state.incrementVersion();
  }

  /** Gives back promised places that lost a worker, and finds new ones for the guarantees. */
  #repairPlan(): void {
    if (!this.#planIsStale) return;
    this.#planIsStale = false;
    this.#state.plan.repair();
  }

  #enqueue(record: JobRecord): void {
    const { job } = record;
    if (this.#state.records.has(job.jobId)) return;
    const limit = this.#state.getOrganisation(job.organisation)?.queuedJobs ??
      Infinity;
    if (
      this.#queue.size >= this.#maximumQueuedJobs ||
      this.#queue.countJobsOf(job.organisation) >= limit
    ) {
      this.#pending.push({
        kind: "fail",
        jobId: job.jobId,
        resultName: "QUEUE_FULL",
      });
      return;
    }
    this.#state.records.set(job.jobId, record);
    this.#learnShape(job.shape);
    this.#addToQueue(record);
  }

  #addToQueue(record: JobRecord): void {
    record.phase = JOB_PHASE.WAITING;
    this.#queue.add(record);
  }

  #restore(
    event: Extract<EngineEvent, { readonly kind: "job_restored" }>,
    nowMs: number,
  ): void {
    if (this.#state.records.has(event.job.jobId)) return;
    const record = createJobRecord(event.job, nowMs);
    this.#state.records.set(event.job.jobId, record);
    this.#learnShape(event.job.shape);
    record.estimateMs = this.#estimator.estimateMs(event.job);
    restoreJob(this.#state, record, event.assignments, nowMs);
    this.#limits.recordStart(record, nowMs - event.ranMs);
    this.#planIsStale = true;
  }

  #noteStart(jobId: JobId, nowMs: number): void {
    const record = this.#state.records.get(jobId);
    if (record === undefined || !isPlaced(record)) return;
    this.#limits.recordStart(record, nowMs);
  }

  #withdraw(jobId: JobId): void {
    const record = this.#state.records.get(jobId);
    if (record === undefined) return;
    if (isPlaced(record)) {
      record.phase = JOB_PHASE.EVICTING;
      return;
    }
    if (record.phase === JOB_PHASE.CLAIMING) this.#state.unclaim(record);
    else this.#queue.drop(record);
    record.phase = JOB_PHASE.GONE;
    this.#state.records.delete(jobId);
    this.#reservations.drop(record);
  }

  #endAttempt(event: AttemptEnded, nowMs: number): void {
    const record = this.#state.records.get(event.jobId);
    if (record === undefined || !isPlaced(record)) return;
    const workers = (record.place ?? []).map(({ worker }) => worker);
    this.#state.remove(record);
    if (record.pinned && this.#state.plan.hasUnplacedUnits()) {
      this.#noteCapacityChange();
    }
    const isGuilty = this.#outcomes.handle(record, workers, event, nowMs);
    if (isGuilty) {
      this.#pending.push({
        kind: "fail",
        jobId: event.jobId,
        resultName: "JOB_FAILED_REPEATEDLY",
      });
    }
    if (event.requeue && !isGuilty) {
      record.waitingSinceMs += event.ranMs;
      this.#addToQueue(record);
      return;
    }
    record.phase = JOB_PHASE.GONE;
    this.#state.records.delete(event.jobId);
  }

  #drain(nowMs: number, decisions: Decision[]): void {
    for (const record of [...this.#state.claiming]) {
      this.#state.unclaim(record);
      this.#queue.add(record);
    }
    this.#limits.evictAll(Math.max(0, this.#drainByMs - nowMs), decisions);
  }
}

/** A new engine that knows of no workers yet. */
export function createPlacementEngine(
  options: PlacementEngineOptions = {},
): PlacementEngine {
  return Engine.create(options);
}
