/**
 * One round of placement decisions. Waiting jobs are tried in this order: urgent jobs inside their
 * guarantees, other jobs inside their guarantees, then borrowers by weighted dominant share with
 * ageing (DRF, NSDI '11).
 */
import { PRIORITY } from "@coltsfootpond/common";
import { type Decision, EVICTION_REASON, WAIT_REASON } from "../types.ts";
import { BinaryHeap } from "./binary_heap.ts";
import type { BorrowedPlacer } from "./borrowed_placement.ts";
import type { Place } from "./capacity_model.ts";
import {
  AGEING_PERIOD_MS,
  MAXIMUM_PLACEMENTS_PER_DECISION,
  MAXIMUM_RESERVED_WORKER_SHARE,
  RECLAIM_CHECKPOINT_LIMIT_MS,
} from "./constants.ts";
import type { Compaction } from "./compaction.ts";
import type { RunTimeEstimator } from "./run_time_estimator.ts";
import type {
  GuaranteedOutcome,
  GuaranteedPlacer,
} from "./guaranteed_placement.ts";
import type { BackfillReservations } from "./backfill_reservations.ts";
import type { JobClass, JobQueue } from "./job_queue.ts";
import { getReservationTimeMs, type JobRecord } from "./job_record.ts";
import type { PlacementState } from "./placement_state.ts";
import { evict } from "./run_deadlines.ts";
import { chooseQuotaVictims } from "./victims.ts";
import type { WorkerHealthTracker } from "./worker_health.ts";

export interface DecisionRoundOptions {
  readonly state: PlacementState;
  readonly queue: JobQueue;
  readonly guaranteed: GuaranteedPlacer;
  readonly borrowed: BorrowedPlacer;
  readonly reservations: BackfillReservations;
  readonly estimator: RunTimeEstimator;
  readonly health: WorkerHealthTracker;
  readonly compaction: Compaction;
}

/** A job class with the rank of its first job; lower tiers and ranks come first. */
interface RankedClass {
  readonly jobClass: JobClass;
  readonly head: JobRecord;
  readonly tier: number;
  readonly rank: number;
}

const TIER = { URGENT: 0, GUARANTEED: 1, BORROWED: 2 } as const;

function compareRanks(left: RankedClass, right: RankedClass): number {
  return left.tier - right.tier || left.rank - right.rank ||
    (left.jobClass.key < right.jobClass.key ? -1 : 1);
}

function createPlacement(record: JobRecord, place: Place): Decision {
  let index = 0;
  const assignments = place.flatMap(({ worker, tasks }) =>
    Array.from(
      { length: tasks },
      () => ({ index: index++, worker: worker.name }),
    )
  );
  return { kind: "place", jobId: record.job.jobId, assignments };
}

/** Run by the engine in each call of `decide` while the failure domain is in service. */
export class DecisionRound {
  readonly #options: DecisionRoundOptions;

  private constructor(options: DecisionRoundOptions) {
    this.#options = options;
  }

  static create(options: DecisionRoundOptions): DecisionRound {
    return new DecisionRound(options);
  }

  /**
   * Appends this round's decisions; true if it ended at the limit of placements, with more to try.
   */
  run(nowMs: number, decisions: Decision[]): boolean {
    const { state, reservations } = this.#options;
    reservations.prune();
    this.#placeClaimed(nowMs, decisions);
    let placements = 0;
    const heap = BinaryHeap.create(compareRanks);
    for (const jobClass of this.#options.queue.classes) {
      this.#pushRanked(heap, jobClass, nowMs);
    }
    while (heap.size > 0) {
      if (placements >= MAXIMUM_PLACEMENTS_PER_DECISION) return true;
      const { jobClass } = heap.pop()!;
      const current = this.#rank(jobClass, nowMs);
      if (current === undefined) continue;
      const next = heap.peek();
      if (next !== undefined && compareRanks(current, next) > 0) {
        heap.push(current);
        continue;
      }
      if (
        this.#tryPlace(jobClass, current.head, current.tier, nowMs, decisions)
      ) {
        placements++;
        this.#pushRanked(heap, jobClass, nowMs);
      } else {
        jobClass.blockedVersion = state.version;
      }
    }
    this.#reserveForHeads(nowMs, decisions);
    this.#options.compaction.run(nowMs, decisions);
    return false;
  }

  #pushRanked(
    heap: BinaryHeap<RankedClass>,
    jobClass: JobClass,
    nowMs: number,
  ): void {
    const ranked = this.#rank(jobClass, nowMs);
    if (ranked !== undefined) heap.push(ranked);
  }

  #rank(jobClass: JobClass, nowMs: number): RankedClass | undefined {
    const { state, queue, guaranteed } = this.#options;
    if (jobClass.blockedVersion === state.version) return undefined;
    const head = queue.peek(jobClass);
    if (head === undefined) return undefined;
    const waitedMs = nowMs - head.waitingSinceMs;
    if (guaranteed.hasSuitableUnit(head)) {
      const urgent = head.job.priority === PRIORITY.URGENT;
      const tier = urgent ? TIER.URGENT : TIER.GUARANTEED;
      return { jobClass, head, tier, rank: -waitedMs };
    }
    const share = state.computeBorrowedShare(head.job.organisation);
    const rank = share - waitedMs / AGEING_PERIOD_MS;
    return { jobClass, head, tier: TIER.BORROWED, rank };
  }

  /** Tries to place the head of a class. Borrowing comes before reclaim, except for urgent jobs. */
  #tryPlace(
    jobClass: JobClass,
    head: JobRecord,
    tier: number,
    nowMs: number,
    decisions: Decision[],
  ): boolean {
    const { guaranteed } = this.#options;
    const mayUseGuarantee = tier !== TIER.BORROWED;
    if (mayUseGuarantee) {
      const free = guaranteed.findFreePlace(head, nowMs);
      if (this.#applyGuaranteed(free, jobClass, head, nowMs, decisions)) {
        return true;
      }
    }
    if (tier !== TIER.URGENT) {
      if (this.#tryBorrowed(jobClass, head, nowMs, decisions)) return true;
    }
    if (mayUseGuarantee) {
      const reclaim = guaranteed.findReclaimPlace(head, nowMs);
      if (this.#applyGuaranteed(reclaim, jobClass, head, nowMs, decisions)) {
        return true;
      }
    }
    return tier === TIER.URGENT &&
      this.#tryBorrowed(jobClass, head, nowMs, decisions);
  }

  #tryBorrowed(
    jobClass: JobClass,
    head: JobRecord,
    nowMs: number,
    decisions: Decision[],
  ): boolean {
    const { state, estimator, borrowed } = this.#options;
    if (!state.mayBorrow(head)) {
      jobClass.reason = WAIT_REASON.QUOTA;
      return false;
    }
    const probe = borrowed.findProbe(head, nowMs);
    if (probe !== undefined) {
      this.#options.health.startProbe(probe[0]!.worker.name, nowMs);
      this.#placeBorrowed(jobClass, head, probe, nowMs, decisions);
      return true;
    }
    const estimateMs = estimator.estimateMs(head.job);
    const outcome = borrowed.decide(head, estimateMs, nowMs);
    if (outcome.kind === "wait") {
      jobClass.reason = outcome.reason;
      return false;
    }
    this.#placeBorrowed(jobClass, head, outcome.place, nowMs, decisions);
    return true;
  }

  /**
   * Applies a placement or reclaim inside the guarantee; false if there is none or the quota
   * forbids it.
   */
  #applyGuaranteed(
    outcome: GuaranteedOutcome,
    jobClass: JobClass,
    head: JobRecord,
    nowMs: number,
    decisions: Decision[],
  ): boolean {
    const { state, queue, estimator } = this.#options;
    if (outcome.kind === "none") return false;
    const quotaVictims = chooseQuotaVictims(
      state,
      head.job.organisation,
      head.demand,
      nowMs,
    );
    if (quotaVictims === undefined) {
      jobClass.reason = WAIT_REASON.QUOTA;
      return false;
    }
    queue.shift(jobClass);
    if (
      outcome.kind === "place" && quotaVictims.length === 0 &&
      state.isWithinQuota(head)
    ) {
      head.estimateMs = estimator.estimateMs(head.job);
      state.put(head, outcome.place, outcome.unit, nowMs);
      decisions.push(createPlacement(head, outcome.place));
      return true;
    }
    state.claim(head, outcome.place, outcome.unit);
    const victims = outcome.kind === "reclaim" ? outcome.victims : [];
    for (const victim of new Set([...victims, ...quotaVictims])) {
      const reason = EVICTION_REASON.RECLAIM;
      decisions.push(evict(victim, reason, RECLAIM_CHECKPOINT_LIMIT_MS));
    }
    return true;
  }

  /** Places a job on borrowed capacity. */
  #placeBorrowed(
    jobClass: JobClass,
    head: JobRecord,
    place: Place,
    nowMs: number,
    decisions: Decision[],
  ): void {
    const { state, queue, estimator, reservations } = this.#options;
    queue.shift(jobClass);
    head.estimateMs = estimator.estimateMs(head.job);
    state.put(head, place, undefined, nowMs);
    reservations.drop(head);
    decisions.push(createPlacement(head, place));
  }

  /** Places the jobs whose claimed place is free now. */
  #placeClaimed(nowMs: number, decisions: Decision[]): void {
    const { state, estimator } = this.#options;
    for (const record of [...state.claiming]) {
      const { place, unit } = record;
      if (place === undefined || !state.isPlaceFree(place, record)) continue;
      if (!state.isUnderQuota(record.job.organisation)) continue;
      record.estimateMs = estimator.estimateMs(record.job);
      state.put(record, place, unit, nowMs);
      decisions.push(createPlacement(record, place));
    }
  }

  /**
   * Makes backfill reservations for the jobs that have waited longest. Evicts the movable jobs on
   * reserved workers where a gang fits once these jobs have left.
   */
  #reserveForHeads(nowMs: number, decisions: Decision[]): void {
    const { state, queue, reservations } = this.#options;
    const limit = Math.ceil(
      state.capacity.workerCount * MAXIMUM_RESERVED_WORKER_SHARE,
    );
    const heads: JobRecord[] = [];
    for (const jobClass of queue.classes) {
      if (jobClass.reason === WAIT_REASON.QUOTA) continue;
      const head = queue.peek(jobClass);
      if (head === undefined || reservations.has(head)) continue;
      if (nowMs < getReservationTimeMs(head)) continue;
      // Pinned jobs may not borrow while a guarantee unit has no place.
      if (head.pinned && state.plan.hasUnplacedUnits()) continue;
      heads.push(head);
    }
    heads.sort((left, right) => left.waitingSinceMs - right.waitingSinceMs);
    for (const head of heads) {
      if (reservations.workerCount >= limit) break;
      reservations.reserve(head, nowMs);
    }
    for (const movable of reservations.startAssembly()) {
      movable.movedAtMs = nowMs;
      const reason = EVICTION_REASON.COMPACTION;
      decisions.push(evict(movable, reason, RECLAIM_CHECKPOINT_LIMIT_MS));
    }
  }
}
