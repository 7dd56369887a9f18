/** The placement engine of one failure domain: takes in events and gives out decisions. */
import {
  assertNever,
  type JobId,
  type RackName,
  type WorkerName,
} from "@coltsfootpond/common";
import {
  type Assignment,
  ATTEMPT_END,
  type BrokenGuarantee,
  type Decision,
  type DomainSummary,
  type EngineEvent,
  EVICTION_REASON,
  type PlacementEngine,
  WAIT_REASON,
  type WaitReason,
} from "../types.ts";
import { BinaryHeap } from "./binary_heap.ts";
import { BorrowedPlacer } from "./borrowed_placement.ts";
import type { Place, WorkerState } from "./capacity_model.ts";
import { getFreeRoom } from "./capacity_model.ts";
import { MAXIMUM_QUEUED_JOBS, RESERVATION_AFTER_MS } from "./constants.ts";
import { DecisionRound } from "./decision_round.ts";
import { RunTimeEstimator } from "./estimates.ts";
import { GuaranteedPlacer } from "./guaranteed_placement.ts";
import { HeadReservations } from "./head_reservations.ts";
import {
  createJobRecord,
  isPlaced,
  JOB_PHASE,
  type JobRecord,
} from "./job_record.ts";
import { JobQueue } from "./job_queue.ts";
import { PlacementState } from "./placement_state.ts";
import {
  countFitting,
  coversShape,
  createEmptyResources,
} from "./resources.ts";
import { HealthTracker } from "./worker_health.ts";

export interface PlacementEngineOptions {
  /** Waiting jobs beyond this many are refused. */
  readonly maximumQueuedJobs?: number;
}

interface RunDeadline {
  readonly dueMs: number;
  readonly record: JobRecord;
  readonly startedAtMs: number;
}

type AttemptEnded = Extract<EngineEvent, { readonly kind: "attempt_ended" }>;

class Engine implements PlacementEngine {
  readonly #maximumQueuedJobs: number;
  readonly #queue = JobQueue.create();
  readonly #estimator = RunTimeEstimator.create();
  readonly #health = HealthTracker.create();
  readonly #state: PlacementState;
  readonly #reservations: HeadReservations;
  readonly #round: DecisionRound;
  readonly #deadlines = BinaryHeap.create<RunDeadline>(
    (left, right) => left.dueMs - right.dueMs,
  );
  #pending: Decision[] = [];
  #planIsStale = false;
  #isOut = false;
  #drainByMs = 0;
  #avoidUntilMs: number | undefined;
  #hasMore = false;
  #lastDecisionMs = 0;

  private constructor(options: PlacementEngineOptions) {
    this.#maximumQueuedJobs = options.maximumQueuedJobs ?? MAXIMUM_QUEUED_JOBS;
    this.#state = PlacementState.create({
      onUnclaimed: (record) => this.#queue.add(record),
    });
    this.#reservations = HeadReservations.create(this.#state);
    this.#round = DecisionRound.create({
      state: this.#state,
      queue: this.#queue,
      guaranteed: GuaranteedPlacer.create(this.#state),
      borrowed: BorrowedPlacer.create({
        state: this.#state,
        reservations: this.#reservations,
        health: this.#health,
      }),
      reservations: this.#reservations,
      estimator: this.#estimator,
      health: this.#health,
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
        this.#state.noteOpportunity();
        return;
      case "domain_out":
        this.#isOut = true;
        this.#drainByMs = nowMs + event.drainMs;
        this.#pending.push(...this.#drain(nowMs));
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
    this.#stopOverruns(nowMs, decisions);
    this.#hasMore = false;
    if (this.#isOut) {
      decisions.push(...this.#drain(nowMs));
      return decisions;
    }
    this.#noteTimedOpportunities(nowMs);
    this.#hasMore = this.#round.run(nowMs, decisions);
    return decisions;
  }

  explain(jobId: JobId): WaitReason {
    const record = this.#state.records.get(jobId);
    if (record === undefined || isPlaced(record)) {
      return WAIT_REASON.NOT_WAITING;
    }
    if (this.#isOut) return WAIT_REASON.DOMAIN_OUT;
    if (record.phase === JOB_PHASE.CLAIMING) return WAIT_REASON.RECLAIMING;
    return this.#queue.get(record)?.reason ?? WAIT_REASON.NOT_LOOKED_AT;
  }

  listBrokenGuarantees(): readonly BrokenGuarantee[] {
    this.#repairPlan();
    return this.#state.plan.listBroken().map(({ guarantee, ordinal }) => ({
      guarantee: guarantee.name,
      organisation: guarantee.organisation,
      ordinal,
      resultName: "GUARANTEE_IMPOSSIBLE",
    }));
  }

  summarise(): DomainSummary {
    const free = createEmptyResources();
    let largestRackFreeAccelerators = 0;
    for (const rack of this.#state.capacity.racks) {
      let rackFree = 0;
      for (const worker of rack.workers) {
        if (!worker.up || worker.quarantined) continue;
        const room = getFreeRoom(worker);
        rackFree += Math.max(0, room.accelerators);
        free.milliprocessors += Math.max(0, room.milliprocessors);
      }
      free.accelerators += rackFree;
      largestRackFreeAccelerators = Math.max(
        largestRackFreeAccelerators,
        rackFree,
      );
    }
    return {
      freeAccelerators: free.accelerators,
      totalAccelerators: this.#state.capacity.total.accelerators,
      largestRackFreeAccelerators,
      freeMilliprocessors: free.milliprocessors,
      queuedJobs: this.#queue.size,
      queuedAccelerators: this.#queue.accelerators,
      runningTasks: this.#state.runningTasks,
    };
  }

  nextDecisionMs(): number | undefined {
    const candidates = [
      this.#hasMore || this.#pending.length > 0
        ? this.#lastDecisionMs
        : undefined,
      this.#deadlines.peek()?.dueMs,
      this.#isOut && this.#state.runningTasks > 0 ? this.#drainByMs : undefined,
      this.#queue.size > 0 ? this.#nextQueueTimeMs() : undefined,
    ].filter((timeMs) => timeMs !== undefined);
    return candidates.length === 0 ? undefined : Math.min(...candidates);
  }

  #nextQueueTimeMs(): number | undefined {
    if (this.#isOut) return undefined;
    const candidates = [this.#avoidUntilMs, this.#health.nextProbeMs()];
    for (const jobClass of this.#queue.classes) {
      const head = this.#queue.peek(jobClass);
      if (head === undefined) continue;
      const dueMs = head.waitingSinceMs + RESERVATION_AFTER_MS;
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
    this.#state.noteOpportunity();
  }

  #learnShape(shape: JobRecord["job"]["shape"]): void {
    const { fragmentation, capacity } = this.#state;
    if (fragmentation.learn(shape)) fragmentation.recountAll(capacity.workers);
  }

  #takeWorkerDown(name: WorkerName): void {
    const worker = this.#state.capacity.bringDown(name);
    if (worker === undefined) return;
    if (this.#health.forget(name)) {
      this.#state.capacity.setQuarantined(worker, false);
    }
    this.#noteCapacityChange();
  }

  #noteCapacityChange(): void {
    this.#planIsStale = true;
    this.#state.noteOpportunity();
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
      this.#queue.countOf(job.organisation) >= limit
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
    const place = this.#findRestoredPlace(event.assignments);
    this.#state.put(record, place, undefined, nowMs);
    this.#adoptRestored(record, place);
    this.#noteStart(event.job.jobId, nowMs - event.ranMs);
    this.#planIsStale = true;
  }

  #findRestoredPlace(assignments: readonly Assignment[]): Place {
    const tasks = new Map<WorkerState, number>();
    for (const { worker } of assignments) {
      const state = this.#state.capacity.get(worker) ??
        this.#addLostWorker(worker);
      tasks.set(state, (tasks.get(state) ?? 0) + 1);
    }
    return Array.from(tasks, ([worker, count]) => ({ worker, tasks: count }));
  }

  /** A worker that has not been seen up; it counts for nothing until it is. */
  #addLostWorker(name: WorkerName): WorkerState {
    const worker = this.#state.capacity.bringUp({
      name,
      rack: `unknown/${name}` as RackName,
      resources: createEmptyResources(),
    });
    this.#state.capacity.bringDown(name);
    return worker;
  }

  /** Moves an open unit of the job's organisation to where the job already runs. */
  #adoptRestored(record: JobRecord, place: Place): void {
    const { plan } = this.#state;
    const { job } = record;
    const unit = plan.listOf(job.organisation).find((candidate) =>
      candidate.jobs.size === 0 &&
      candidate.guarantee.shape.tasks === job.shape.tasks &&
      coversShape(candidate.guarantee.shape, job.shape)
    );
    if (unit === undefined) return;
    const { perTask } = unit.guarantee.shape;
    const held = unit.place;
    plan.move(unit, undefined);
    const mayMove = place.every(({ worker, tasks }) =>
      worker.up && countFitting(worker.capacity, perTask) >= tasks
    );
    plan.move(unit, mayMove ? place : held);
    if (mayMove) this.#state.adopt(record, unit);
  }

  #noteStart(jobId: JobId, startedAtMs: number): void {
    const record = this.#state.records.get(jobId);
    if (record === undefined || !isPlaced(record)) return;
    record.startedAtMs = startedAtMs;
    const dueMs = startedAtMs + record.job.maximumRunMs;
    this.#deadlines.push({ dueMs, record, startedAtMs });
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
    const isGuilty = this.#learnFromEnd(record, workers, event, nowMs);
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

  /** True when the job itself is to blame for having failed. */
  #learnFromEnd(
    record: JobRecord,
    workers: readonly WorkerState[],
    event: AttemptEnded,
    nowMs: number,
  ): boolean {
    switch (event.end) {
      case ATTEMPT_END.FINISHED:
        this.#estimator.observe(record.job, event.ranMs);
        for (const worker of workers) this.#noteSuccess(record, worker);
        return false;
      case ATTEMPT_END.FAILED:
        return this.#noteFailure(record, event.workers, nowMs);
      case ATTEMPT_END.REFUSED:
        for (const name of event.workers) this.#noteRefusal(name, nowMs);
        return false;
      case ATTEMPT_END.STOPPED:
        return false;
      default:
        return assertNever(event.end);
    }
  }

  #noteSuccess(record: JobRecord, worker: WorkerState): void {
    if (!this.#health.recordSuccess(record.job, worker.name)) return;
    this.#state.capacity.setQuarantined(worker, false);
    this.#noteCapacityChange();
  }

  #noteFailure(
    record: JobRecord,
    workers: readonly WorkerName[],
    nowMs: number,
  ): boolean {
    let isGuilty = false;
    for (const name of workers) {
      const worker = this.#state.capacity.get(name);
      if (worker === undefined) continue;
      if (!worker.quarantined) record.failedOn.add(name);
      const verdict = this.#health.recordFailure(
        record.job,
        name,
        record.failedOn,
        this.#state.capacity.workerCount,
        nowMs,
      );
      if (verdict.kind === "job_guilty") isGuilty = true;
      if (verdict.kind !== "worker_guilty") continue;
      this.#state.capacity.setQuarantined(worker, true);
      for (const other of this.#state.records.values()) {
        other.failedOn.delete(name);
      }
      this.#noteCapacityChange();
    }
    return isGuilty;
  }

  #noteRefusal(name: WorkerName, nowMs: number): void {
    const worker = this.#state.capacity.get(name);
    if (worker === undefined) return;
    worker.avoidUntilMs = this.#health.recordRefusal(name, nowMs);
    this.#avoidUntilMs = Math.min(
      this.#avoidUntilMs ?? worker.avoidUntilMs,
      worker.avoidUntilMs,
    );
  }

  #noteTimedOpportunities(nowMs: number): void {
    const probeMs = this.#health.nextProbeMs();
    if (probeMs !== undefined && probeMs <= nowMs) {
      this.#state.noteOpportunity();
    }
    if (this.#avoidUntilMs === undefined || this.#avoidUntilMs > nowMs) return;
    this.#avoidUntilMs = undefined;
    for (const { avoidUntilMs } of this.#state.capacity.workers) {
      if (avoidUntilMs <= nowMs) continue;
      this.#avoidUntilMs = Math.min(
        this.#avoidUntilMs ?? avoidUntilMs,
        avoidUntilMs,
      );
    }
    this.#state.noteOpportunity();
  }

  #stopOverruns(nowMs: number, decisions: Decision[]): void {
    let next = this.#deadlines.peek();
    while (next !== undefined && next.dueMs <= nowMs) {
      this.#deadlines.pop();
      const { record, startedAtMs } = next;
      const stands = record.phase === JOB_PHASE.PLACED &&
        record.startedAtMs === startedAtMs;
      if (stands) {
        record.phase = JOB_PHASE.EVICTING;
        decisions.push({
          kind: "evict",
          jobId: record.job.jobId,
          reason: EVICTION_REASON.OVERRUN,
          checkpointMs: 0,
        });
      }
      next = this.#deadlines.peek();
    }
  }

  /** Sends work out of a failure domain that is out; pinned work may end until the deadline. */
  #drain(nowMs: number): Decision[] {
    const decisions: Decision[] = [];
    const restMs = Math.max(0, this.#drainByMs - nowMs);
    for (const record of this.#state.records.values()) {
      if (record.phase === JOB_PHASE.CLAIMING) {
        this.#state.unclaim(record);
        this.#queue.add(record);
      }
      if (record.phase !== JOB_PHASE.PLACED) continue;
      if (record.pinned && restMs > 0) continue;
      record.phase = JOB_PHASE.EVICTING;
      decisions.push({
        kind: "evict",
        jobId: record.job.jobId,
        reason: EVICTION_REASON.DOMAIN_OUT,
        checkpointMs: record.job.canCheckpoint
          ? Math.min(record.job.checkpointMs, restMs)
          : 0,
      });
    }
    return decisions;
  }
}

/** A new engine that knows of no workers yet. */
export function createPlacementEngine(
  options: PlacementEngineOptions = {},
): PlacementEngine {
  return Engine.create(options);
}
