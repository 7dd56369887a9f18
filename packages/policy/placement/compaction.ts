/**
 * Empties nearly empty workers, so that whole workers become free for gangs: moves their single
 * tasks to other partly used workers, at the cost of one checkpoint each.
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

/** Free capacity of partly used workers. */
type FreeCapacities = Map<WorkerState, MutableResources>;

function isPartlyUsed(worker: WorkerState): boolean {
  return isUsable(worker) && worker.capacity.accelerators > 0 &&
    worker.used.accelerators > 0 &&
    worker.used.accelerators < worker.capacity.accelerators;
}

/** Run at the end of decision rounds, at most once per `COMPACTION_PERIOD_MS`. */
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

  /** When it should run next; undefined while no task runs. */
  nextDueMs(): number | undefined {
    return this.#state.runningTasks > 0 ? this.#dueMs : undefined;
  }

  /** Evicts all jobs of at most one worker, the least used one whose jobs fit elsewhere. */
  run(nowMs: number, decisions: Decision[]): void {
    if (nowMs < this.#dueMs) return;
    this.#dueMs = nowMs + COMPACTION_PERIOD_MS;
    const partlyUsed = this.#listPartlyUsed();
    const emptiestFirst = [...partlyUsed].sort((left, right) =>
      this.#rankReserved(left) - this.#rankReserved(right) ||
      left.used.accelerators - right.used.accelerators
    );
    for (const worker of emptiestFirst) {
      const records = this.#listMovable(worker, nowMs);
      if (records === undefined) continue;
      const others = partlyUsed.filter((other) =>
        other !== worker && !this.#reservations.isReserved(other)
      );
      if (!fitsElsewhere(records, others)) continue;
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

  /** Workers with a backfill reservation come first. */
  #rankReserved(worker: WorkerState): number {
    return this.#reservations.isReserved(worker) ? 0 : 1;
  }

  #listPartlyUsed(): WorkerState[] {
    const racks: Iterable<RackState> = this.#state.capacity.racks;
    return [...racks].flatMap((rack) => rack.workers.filter(isPartlyUsed));
  }

  /** All jobs of a worker; undefined if there is none or one of them cannot be moved now. */
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

/** Whether all jobs fit into the free capacity: largest first, each on the fullest worker. */
function fitsElsewhere(
  records: readonly JobRecord[],
  workers: readonly WorkerState[],
): boolean {
  const freeCapacities: FreeCapacities = new Map(
    workers.map((worker) => [worker, { ...getFreeCapacity(worker) }]),
  );
  const largestFirst = [...records].sort((left, right) =>
    right.demand.accelerators - left.demand.accelerators
  );
  return largestFirst.every(({ demand }) => {
    const [fullest] = [...freeCapacities.values()]
      .filter((free) => fitsWithin(demand, free))
      .sort((left, right) => left.accelerators - right.accelerators);
    if (fullest === undefined) return false;
    addScaled(fullest, demand, -1);
    return true;
  });
}
