/**
 * Places a job inside a guarantee unit of its organisation: at the unit's place, after moving the
 * unit to free capacity, after exchanging it with a unit of equal shape, or by evicting borrowers.
 */
import { PRIORITY } from "@coltsfootpond/common";
import {
  getUnusedUnitCapacity,
  type GuaranteeUnit,
} from "../guarantees/reservation_plan.ts";
import {
  countFree,
  isUsable,
  type Place,
  type WorkerState,
} from "./capacity_model.ts";
import type { BackfillReservations } from "./backfill_reservations.ts";
import type { JobRecord } from "./job_record.ts";
import { findPlaces, type TaskCounter } from "./packing.ts";
import type { PlacementState } from "./placement_state.ts";
import {
  countFitting,
  coversShape,
  createShapeKey,
  suitsGuarantee,
} from "./resources.ts";
import { chooseVictims } from "./victims.ts";

/** `place`: the place is free. `reclaim`: it is free once the victims are evicted. */
export type GuaranteedOutcome =
  | {
    readonly kind: "place";
    readonly place: Place;
    readonly unit: GuaranteeUnit;
  }
  | {
    readonly kind: "reclaim";
    readonly place: Place;
    readonly unit: GuaranteeUnit;
    readonly victims: readonly JobRecord[];
  }
  | { readonly kind: "none" };

/** One way to reclaim; `cost` is the lost work of the victims. */
interface ReclaimOption {
  readonly unit: GuaranteeUnit;
  /** New place of the unit; absent if it stays. */
  readonly unitPlace?: Place;
  readonly place: Place;
  readonly victims: readonly JobRecord[];
  readonly cost: number;
}

function isAllowed(
  record: JobRecord,
  worker: WorkerState,
  nowMs: number,
): boolean {
  return isUsable(worker) && worker.avoidUntilMs <= nowMs &&
    !record.failedOn.has(worker.name);
}

/** Places for the job within the capacity of the unit that other jobs do not use. */
function findInUnit(
  unit: GuaranteeUnit,
  record: JobRecord,
  count: TaskCounter,
): Place[] {
  if (unit.place === undefined) return [];
  const { shape } = record.job;
  const unusedByWorker = new Map(
    unit.place.map((
      { worker },
    ) => [worker, getUnusedUnitCapacity(unit, worker)]),
  );
  const racks = new Set(unit.place.map(({ worker }) => worker.rack));
  return findPlaces(racks, shape, (worker) => {
    const unused = unusedByWorker.get(worker);
    if (unused === undefined) return 0;
    return Math.min(countFitting(unused, shape.perTask), count(worker));
  });
}

function isUnitPlaceFree(place: Place, unit: GuaranteeUnit): boolean {
  const { perTask } = unit.guarantee.shape;
  return place.every(({ worker, tasks }) =>
    countFree(worker, perTask) >= tasks
  );
}

/** Place for all tasks of the job inside a place of its guarantee unit. */
function fillUnitPlace(record: JobRecord, unitPlace: Place): Place {
  let rest = record.job.shape.tasks;
  return unitPlace.flatMap(({ worker, tasks }) => {
    const taken = Math.min(rest, tasks);
    rest -= taken;
    return taken > 0 ? [{ worker, tasks: taken }] : [];
  });
}

export interface GuaranteedPlacerOptions {
  readonly state: PlacementState;
  readonly reservations: BackfillReservations;
}

/** Finds places inside guarantees; called by the decision round. */
export class GuaranteedPlacer {
  readonly #state: PlacementState;
  readonly #reservations: BackfillReservations;

  private constructor(options: GuaranteedPlacerOptions) {
    this.#state = options.state;
    this.#reservations = options.reservations;
  }

  static create(options: GuaranteedPlacerOptions): GuaranteedPlacer {
    return new GuaranteedPlacer(options);
  }

  /** Whether a placed guarantee unit of the organisation suits the job, free or not. */
  hasSuitableUnit(record: JobRecord): boolean {
    return this.#listUnits(record).length > 0;
  }

  #listUnits({ job }: JobRecord): readonly GuaranteeUnit[] {
    return this.#state.plan.listUnitsOf(job.organisation).filter((unit) =>
      unit.place !== undefined &&
      suitsGuarantee(unit.guarantee.shape, job.shape)
    );
  }

  /** Finds a place without evictions. Moves the unit in the plan if the place requires it. */
  findFreePlace(record: JobRecord, nowMs: number): GuaranteedOutcome {
    const units = this.#listUnits(record);
    return this.#placeInUnit(record, units, nowMs) ??
      this.#placeByMove(record, units, nowMs) ??
      this.#placeByExchange(record, units, nowMs) ??
      { kind: "none" };
  }

  /** Finds a place by evicting borrowers. Moves the unit in the plan if the place requires it. */
  findReclaimPlace(record: JobRecord, nowMs: number): GuaranteedOutcome {
    const units = this.#listUnits(record);
    return this.#reclaim(record, units, nowMs) ??
      this.#reclaimFromOwn(record, units, nowMs) ??
      { kind: "none" };
  }

  /**
   * Only urgent jobs may move a unit to workers with a backfill reservation that they would delay.
   */
  #mayMoveTo(record: JobRecord, worker: WorkerState, nowMs: number): boolean {
    if (!isAllowed(record, worker, nowMs)) return false;
    return record.job.priority === PRIORITY.URGENT ||
      !this.#reservations.isBlockedFor(
        worker,
        record,
        record.job.maximumRunMs,
        nowMs,
      );
  }

  #placeInUnit(
    record: JobRecord,
    units: readonly GuaranteeUnit[],
    nowMs: number,
  ): GuaranteedOutcome | undefined {
    const { perTask } = record.job.shape;
    for (const unit of units) {
      const [place] = findInUnit(
        unit,
        record,
        (worker) =>
          isAllowed(record, worker, nowMs) ? countFree(worker, perTask) : 0,
      );
      if (place !== undefined) return { kind: "place", place, unit };
    }
    return undefined;
  }

  #placeByMove(
    record: JobRecord,
    units: readonly GuaranteeUnit[],
    nowMs: number,
  ): GuaranteedOutcome | undefined {
    for (const unit of this.#listMovableUnits(record, units)) {
      const { perTask } = unit.guarantee.shape;
      const places = this.#state.plan.findPlacesFor(
        unit,
        (worker) =>
          this.#mayMoveTo(record, worker, nowMs)
            ? countFree(worker, perTask)
            : 0,
      );
      const unitPlace = this.#chooseLeastFragmenting(places, unit);
      if (unitPlace === undefined) continue;
      this.#state.plan.setPlace(unit, unitPlace);
      return { kind: "place", place: fillUnitPlace(record, unitPlace), unit };
    }
    return undefined;
  }

  #placeByExchange(
    record: JobRecord,
    units: readonly GuaranteeUnit[],
    nowMs: number,
  ): GuaranteedOutcome | undefined {
    for (const unit of this.#listMovableUnits(record, units)) {
      const key = createShapeKey(unit.guarantee.shape);
      const other = this.#state.plan.units.find((candidate) =>
        candidate !== unit && candidate.jobs.size === 0 &&
        candidate.place !== undefined &&
        createShapeKey(candidate.guarantee.shape) === key &&
        candidate.place.every(({ worker }) =>
          this.#mayMoveTo(record, worker, nowMs)
        ) &&
        isUnitPlaceFree(candidate.place, unit)
      );
      if (other?.place === undefined) continue;
      const { place } = other;
      const own = unit.place;
      this.#state.plan.setPlace(other, undefined);
      this.#state.plan.setPlace(unit, place);
      this.#state.plan.setPlace(other, own);
      return { kind: "place", place: fillUnitPlace(record, place), unit };
    }
    return undefined;
  }

  #reclaim(
    record: JobRecord,
    units: readonly GuaranteeUnit[],
    nowMs: number,
  ): GuaranteedOutcome | undefined {
    let best: ReclaimOption | undefined;
    for (const unit of units) {
      for (const option of this.#listReclaimOptions(record, unit, nowMs)) {
        if (best === undefined || option.cost < best.cost) best = option;
      }
    }
    if (best === undefined) return undefined;
    const { unit, unitPlace, place, victims } = best;
    if (unitPlace !== undefined) this.#state.plan.setPlace(unit, unitPlace);
    if (victims.length === 0 && isPlaceFree(record, place)) {
      return { kind: "place", place, unit };
    }
    return { kind: "reclaim", place, unit, victims };
  }

  /** An urgent job may evict its own organisation's normal jobs from a guarantee unit. */
  #reclaimFromOwn(
    record: JobRecord,
    units: readonly GuaranteeUnit[],
    nowMs: number,
  ): GuaranteedOutcome | undefined {
    if (record.job.priority !== PRIORITY.URGENT) return undefined;
    for (const unit of units) {
      if (!coversShape(unit.guarantee.shape, record.job.shape)) continue;
      const jobs = [...unit.jobs].flatMap((jobId) =>
        this.#state.records.get(jobId) ?? []
      );
      const areEvictable = jobs.length > 0 &&
        jobs.every((own) =>
          own.job.priority !== PRIORITY.URGENT && !own.pinned &&
          !this.#state.claiming.has(own)
        );
      if (!areEvictable) continue;
      for (const own of jobs) this.#state.convertToBorrowed(own);
      return this.#reclaim(record, [unit], nowMs);
    }
    return undefined;
  }

  #listReclaimOptions(
    record: JobRecord,
    unit: GuaranteeUnit,
    nowMs: number,
  ): ReclaimOption[] {
    const { perTask } = record.job.shape;
    const options: ReclaimOption[] = [];
    const placesInUnit = findInUnit(
      unit,
      record,
      (worker) => isAllowed(record, worker, nowMs) ? Infinity : 0,
    );
    for (const place of placesInUnit) {
      const choice = chooseVictims(this.#state, place, perTask, nowMs);
      if (choice !== undefined) {
        options.push({ unit, place, ...choice, cost: choice.lostWork });
      }
    }
    if (this.#listMovableUnits(record, [unit]).length === 0) return options;
    const moves = this.#state.plan.findPlacesFor(
      unit,
      (worker) => isAllowed(record, worker, nowMs) ? Infinity : 0,
    );
    for (const unitPlace of moves) {
      const place = fillUnitPlace(record, unitPlace);
      const choice = chooseVictims(this.#state, place, perTask, nowMs);
      if (choice === undefined) continue;
      options.push({
        unit,
        unitPlace,
        place,
        ...choice,
        cost: choice.lostWork,
      });
    }
    return options;
  }

  /** Units without jobs whose place has space for the whole job. */
  #listMovableUnits(
    record: JobRecord,
    units: readonly GuaranteeUnit[],
  ): GuaranteeUnit[] {
    return units.filter((unit) =>
      unit.jobs.size === 0 && unit.place !== undefined &&
      coversShape(unit.guarantee.shape, record.job.shape)
    );
  }

  #chooseLeastFragmenting(
    places: readonly Place[],
    unit: GuaranteeUnit,
  ): Place | undefined {
    const { perTask } = unit.guarantee.shape;
    let best: Place | undefined;
    let bestLoss = Infinity;
    for (const place of places) {
      const loss = this.#state.fragmentation.computeLoss(place, perTask);
      if (loss < bestLoss) [best, bestLoss] = [place, loss];
    }
    return best;
  }
}

function isPlaceFree(record: JobRecord, place: Place): boolean {
  const { perTask } = record.job.shape;
  return place.every(({ worker, tasks }) =>
    countFree(worker, perTask) >= tasks
  );
}
