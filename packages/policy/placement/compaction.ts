/**
 * Drains nearly empty workers: single tasks that can checkpoint are moved into gaps on other
 * workers in use, at the price of one checkpoint each, so that whole workers come free for gangs.
 */
import { type Decision, EVICTION_REASON } from "../types.ts";
import {
  getFreeCapacity,
  isUsable,
  type RackState,
  type WorkerState,
} from "./capacity_model.ts";
import {
  COMPACTION_COOLDOWN_MS,
  COMPACTION_JOB_PERIOD_MS,
  COMPACTION_PERIOD_MS,
  RECLAIM_CHECKPOINT_LIMIT_MS,
} from "./constants.ts";
import type { BackfillReservations } from "./backfill_reservations.ts";
import { isMovable, type JobRecord } from "./job_record.ts";
import type { PlacementState } from "./placement_state.ts";
import { addScaled, fitsWithin, type MutableResources } from "./resources.ts";
import { evict } from "./run_deadlines.ts";

/** Room that is left on workers in use, by worker. */
type Gaps = Map<WorkerState, MutableResources>;

function isPartlyUsed(worker: WorkerState): boolean {
  return isUsable(worker) && worker.capacity.accelerators > 0 &&
    worker.used.accelerators > 0 &&
    worker.used.accelerators < worker.capacity.accelerators;
}

export class Compaction {
  readonly #state: PlacementState;
  readonly #reservations: BackfillReservations;
  #dueMs = 0;

  private constructor(
    state: PlacementState,
    reservations: BackfillReservations,
  ) {
    this.#state = state;
    this.#reservations = reservations;
  }

  static create(
    state: PlacementState,
    reservations: BackfillReservations,
  ): Compaction {
    return new Compaction(state, reservations);
  }

  /** When it should run next; undefined while there is nothing to move. */
  nextDueMs(): number | undefined {
    return this.#state.runningTasks > 0 ? this.#dueMs : undefined;
  }

  /** Empties at most one worker, the one with least on it. */
  run(nowMs: number, decisions: Decision[]): void {
    if (nowMs < this.#dueMs) return;
    this.#dueMs = nowMs + COMPACTION_PERIOD_MS;
    const partlyUsed = this.#listPartlyUsed();
    const emptiestFirst = [...partlyUsed].sort((left, right) =>
      this.#rankKept(left) - this.#rankKept(right) ||
      left.used.accelerators - right.used.accelerators
    );
    for (const worker of emptiestFirst) {
      const records = this.#listMovable(worker, nowMs);
      if (records === undefined) continue;
      const others = partlyUsed.filter((other) =>
        other !== worker && !this.#reservations.isReserved(other)
      );
      if (!fitsInGaps(records, others)) continue;
      worker.noSingleTasksUntilMs = nowMs + RECLAIM_CHECKPOINT_LIMIT_MS +
        COMPACTION_COOLDOWN_MS;
      for (const record of records) {
        record.movedAtMs = nowMs;
        const reason = EVICTION_REASON.COMPACTION;
        decisions.push(evict(record, reason, RECLAIM_CHECKPOINT_LIMIT_MS));
      }
      return;
    }
  }

  /** Workers kept for a gang that waited long come first. */
  #rankKept(worker: WorkerState): number {
    return this.#reservations.isReserved(worker) ? 0 : 1;
  }

  #listPartlyUsed(): WorkerState[] {
    const racks: Iterable<RackState> = this.#state.capacity.racks;
    return [...racks].flatMap((rack) => rack.workers.filter(isPartlyUsed));
  }

  /** All jobs of a worker, if every one of them can be moved. */
  #listMovable(
    worker: WorkerState,
    nowMs: number,
  ): readonly JobRecord[] | undefined {
    const records: JobRecord[] = [];
    for (const jobId of worker.tasks.keys()) {
      const record = this.#state.records.get(jobId);
      if (record === undefined || !isMovable(record)) return undefined;
      if (nowMs - record.movedAtMs < COMPACTION_JOB_PERIOD_MS) return undefined;
      records.push(record);
    }
    return records.length === 0 ? undefined : records;
  }
}

/** Whether all jobs fit into the gaps, the largest first into the smallest gap. */
function fitsInGaps(
  records: readonly JobRecord[],
  workers: readonly WorkerState[],
): boolean {
  const gaps: Gaps = new Map(
    workers.map((worker) => [worker, { ...getFreeCapacity(worker) }]),
  );
  const largestFirst = [...records].sort((left, right) =>
    right.demand.accelerators - left.demand.accelerators
  );
  return largestFirst.every(({ demand }) => {
    const [gap] = [...gaps.values()]
      .filter((room) => fitsWithin(demand, room))
      .sort((left, right) => left.accelerators - right.accelerators);
    if (gap === undefined) return false;
    addScaled(gap, demand, -1);
    return true;
  });
}
