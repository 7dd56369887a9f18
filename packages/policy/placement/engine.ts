/** The placement engine of one failure domain: applies events and returns decisions. */
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
  /** Upper limit of waiting jobs; a job beyond it fails with `QUEUE_FULL`. */
  readonly maximumQueuedJobs?: number;
}

/** Connects the state, the queue, the decision round and the handlers of events. */
class Engine implements PlacementEngine {
  readonly #maximumQueuedJobs: number;
  readonly #queue = JobQueue.create();
  readonly #estimator = RunTimeEstimator.create();
  readonly #state: PlacementState;
  readonly #reservations: BackfillReservations;
  readonly #compaction: Compaction;
  readonly #round: DecisionRound;
  readonly #deadlines: RunDeadlines;
  readonly #attemptEnds: AttemptEndHandler;
  #pending: Decision[] = [];
  #planIsStale = false;
  #isOutOfService = false;
  #drainDeadlineMs = 0;
  #hasMore = false;
  #lastDecisionMs = 0;

  private constructor(options: PlacementEngineOptions) {
    this.#maximumQueuedJobs = options.maximumQueuedJobs ?? MAXIMUM_QUEUED_JOBS;
    this.#state = PlacementState.create({
      onUnclaimed: (record) => this.#queue.add(record),
    });
    const health = WorkerHealthTracker.create();
    this.#deadlines = RunDeadlines.create(this.#state.records);
    this.#attemptEnds = AttemptEndHandler.create({
      state: this.#state,
      health,
      estimator: this.#estimator,
      onCapacityChange: () => this.#handleCapacityChange(),
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
        this.#handleCapacityChange();
        return;
      case "worker_down":
        return this.#handleWorkerDown(event.worker);
      case "configuration":
        this.#configure(event);
        return;
      case "domain_in":
        this.#isOutOfService = false;
        this.#state.incrementVersion();
        return;
      case "domain_out":
        this.#isOutOfService = true;
        this.#drainDeadlineMs = nowMs + event.drainMs;
        this.#drain(nowMs, this.#pending);
        return;
      case "job_queued":
        return this.#enqueue(createJobRecord(event.job, nowMs));
      case "job_restored":
        return this.#restore(event, nowMs);
      case "job_started":
        return this.#recordStart(event.jobId, nowMs);
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
    this.#deadlines.evictOverruns(nowMs, decisions);
    this.#hasMore = false;
    if (this.#isOutOfService) {
      this.#drain(nowMs, decisions);
      return decisions;
    }
    this.#attemptEnds.checkTimers(nowMs);
    this.#hasMore = this.#round.run(nowMs, decisions);
    return decisions;
  }

  getWaitReason(jobId: JobId): WaitReason {
    const record = this.#state.records.get(jobId);
    if (record === undefined || isPlaced(record)) {
      return WAIT_REASON.NOT_WAITING;
    }
    if (this.#isOutOfService) return WAIT_REASON.DOMAIN_OUT;
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
      this.#deadlines.nextDueMs(),
      this.#isOutOfService && this.#state.runningTasks > 0
        ? this.#drainDeadlineMs
        : undefined,
      this.#queue.size > 0 ? this.#nextQueueTimeMs() : undefined,
      this.#isOutOfService ? undefined : this.#compaction.nextDueMs(),
    ].filter((timeMs) => timeMs !== undefined);
    return candidates.length === 0 ? undefined : Math.min(...candidates);
  }

  #nextQueueTimeMs(): number | undefined {
    if (this.#isOutOfService) return undefined;
    const candidates = [this.#attemptEnds.nextTimerMs()];
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
    for (const { shape } of event.guarantees) this.#addTargetShape(shape);
    this.#state.plan.configure(event.guarantees);
    this.#state.incrementVersion();
  }

  /** Adds the shape, if it is large, to those whose fragmentation loss is counted. */
  #addTargetShape(shape: JobRecord["job"]["shape"]): void {
    const { fragmentation, capacity } = this.#state;
    if (fragmentation.addTarget(shape)) {
      fragmentation.recountAll(capacity.workers);
    }
  }

  #handleWorkerDown(name: WorkerName): void {
    const worker = this.#state.capacity.bringDown(name);
    if (worker === undefined) return;
    this.#attemptEnds.forget(worker);
    this.#handleCapacityChange();
  }

  #handleCapacityChange(): void {
    this.#planIsStale = true;
    this.#state.incrementVersion();
  }

  /** Releases claimed places that lost a worker and finds new places for guarantee units. */
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
    this.#addTargetShape(job.shape);
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
    this.#addTargetShape(event.job.shape);
    record.estimateMs = this.#estimator.estimateMs(event.job);
    restoreJob(this.#state, record, event.assignments, nowMs);
    this.#deadlines.recordStart(record, nowMs - event.ranMs);
    this.#planIsStale = true;
  }

  #recordStart(jobId: JobId, nowMs: number): void {
    const record = this.#state.records.get(jobId);
    if (record === undefined || !isPlaced(record)) return;
    this.#deadlines.recordStart(record, nowMs);
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
    // Guarantee units cannot use the capacity of a pinned job; an unplaced one may fit now.
    if (record.pinned && this.#state.plan.hasUnplacedUnits()) {
      this.#handleCapacityChange();
    }
    const isJobAtFault = this.#attemptEnds.handle(
      record,
      workers,
      event,
      nowMs,
    );
    if (isJobAtFault) {
      this.#pending.push({
        kind: "fail",
        jobId: event.jobId,
        resultName: "JOB_FAILED_REPEATEDLY",
      });
    }
    if (event.requeue && !isJobAtFault) {
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
    this.#deadlines.evictAll(
      Math.max(0, this.#drainDeadlineMs - nowMs),
      decisions,
    );
  }
}

/** Creates an engine without workers; they are added by `worker_up` events. */
export function createPlacementEngine(
  options: PlacementEngineOptions = {},
): PlacementEngine {
  return Engine.create(options);
}
