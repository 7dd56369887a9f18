/**
 * Reservation plan of one failure domain: every guarantee unit has a place, and on each worker the
 * reserved capacity plus the capacity of pinned work never exceeds the worker's capacity. Evicting
 * all other work therefore always frees enough for every guarantee; this is the guarantee
 * invariant. The places correspond to the virtual cells of HiveD (OSDI '20).
 */
import type {
  GuaranteeDeclaration,
  JobId,
  OrganisationName,
  Resources,
  Shape,
} from "@coltsfootpond/common";
import {
  type CapacityModel,
  countUnreserved,
  isUsable,
  type Place,
  type WorkerState,
} from "../placement/capacity_model.ts";
import { findPlaces, type TaskCounter } from "../placement/packing.ts";
import {
  addScaled,
  compareShapesHardestFirst,
  countFitting,
  createEmptyResources,
  createShapeKey,
  type MutableResources,
  subtractResources,
} from "../placement/resources.ts";

/** Guarantee unit: one of the `count` gangs of a guarantee. */
export interface GuaranteeUnit {
  readonly guarantee: GuaranteeDeclaration;
  readonly ordinal: number;
  /** Reserved place; undefined while there is none because capacity was lost. */
  place: Place | undefined;
  /** Resources that the organisation's jobs use of the reservation, by worker. */
  readonly usedByJobs: Map<WorkerState, MutableResources>;
  /** Jobs that run inside the unit or have claimed capacity in it. */
  readonly jobs: Set<JobId>;
}

/** Called for each job whose guarantee unit loses its place or is removed from the plan. */
export type DetachHandler = (jobId: JobId) => void;

/** Whether an existing unit can be kept for a gang of the guarantee `other`. */
function isSameUnit(unit: GuaranteeUnit, other: GuaranteeDeclaration): boolean {
  return unit.guarantee.name === other.name &&
    unit.guarantee.organisation === other.organisation &&
    createShapeKey(unit.guarantee.shape) === createShapeKey(other.shape);
}

/** Reserved capacity of a unit on one worker that its jobs do not use. */
export function getUnusedUnitCapacity(
  unit: GuaranteeUnit,
  worker: WorkerState,
): Resources {
  const group = unit.place?.find((candidate) => candidate.worker === worker);
  const unused = createEmptyResources();
  if (group === undefined) return unused;
  addScaled(unused, unit.guarantee.shape.perTask, group.tasks);
  const usedHere = unit.usedByJobs.get(worker);
  return usedHere === undefined ? unused : subtractResources(unused, usedHere);
}

/** Places of the guarantee units of one failure domain. */
export class ReservationPlan {
  readonly #capacity: CapacityModel;
  readonly #onDetach: DetachHandler;
  #units: GuaranteeUnit[] = [];

  private constructor(capacity: CapacityModel, onDetach: DetachHandler) {
    this.#capacity = capacity;
    this.#onDetach = onDetach;
  }

  static create(
    options: {
      readonly capacity: CapacityModel;
      readonly onDetach: DetachHandler;
    },
  ): ReservationPlan {
    return new ReservationPlan(options.capacity, options.onDetach);
  }

  get units(): readonly GuaranteeUnit[] {
    return this.#units;
  }

  hasUnplacedUnits(): boolean {
    return this.#units.some((unit) => unit.place === undefined);
  }

  /** Units without a place, because capacity was lost. */
  listUnplacedUnits(): readonly GuaranteeUnit[] {
    return this.#units.filter((unit) => unit.place === undefined);
  }

  listUnitsOf(organisation: OrganisationName): readonly GuaranteeUnit[] {
    return this.#units.filter((unit) =>
      unit.guarantee.organisation === organisation
    );
  }

  /** Applies new declarations; units that are still declared keep their places and jobs. */
  configure(guarantees: readonly GuaranteeDeclaration[]): void {
    const old = new Set(this.#units);
    const next: GuaranteeUnit[] = [];
    for (const guarantee of guarantees) {
      for (let ordinal = 0; ordinal < guarantee.count; ordinal++) {
        const kept = [...old].find((unit) => isSameUnit(unit, guarantee));
        if (kept !== undefined) old.delete(kept);
        next.push({
          guarantee,
          ordinal,
          place: kept?.place,
          usedByJobs: kept?.usedByJobs ?? new Map(),
          jobs: kept?.jobs ?? new Set(),
        });
      }
    }
    for (const unit of old) this.#removePlace(unit);
    this.#units = next.sort((left, right) =>
      compareShapesHardestFirst(left.guarantee.shape, right.guarantee.shape)
    );
    this.repair();
  }

  /** Restores the invariant and finds new places after capacity or pinned work changed. */
  repair(): void {
    while (this.#removeFromFullWorkers()) {
      // A pinned job whose unit lost its place is no longer inside a reservation; its capacity
      // counts as pinned and may displace another unit.
    }
    const missing = this.listUnplacedUnits();
    for (const unit of missing) this.#placeTightly(unit);
    if (this.listUnplacedUnits().length > 0) this.#repack();
  }

  /** Replaces the reserved place of a unit; the caller detaches its jobs, if there are any. */
  setPlace(unit: GuaranteeUnit, place: Place | undefined): void {
    const { perTask } = unit.guarantee.shape;
    if (unit.place !== undefined) {
      this.#capacity.adjustUsage(unit.place, perTask, "reserved", -1);
    }
    unit.place = place;
    if (place !== undefined) {
      this.#capacity.adjustUsage(place, perTask, "reserved", 1);
    }
  }

  /**
   * Lists candidate places for a unit that has no job, as if it had no place now, with at most
   * `limit(worker)` of its tasks on each worker.
   */
  findPlacesFor(unit: GuaranteeUnit, limit: TaskCounter): Place[] {
    const current = unit.place;
    this.setPlace(unit, undefined);
    const places = this.#findUnreserved(unit.guarantee.shape, limit);
    this.setPlace(unit, current);
    return places;
  }

  /** Counts a job of the unit's organisation inside the unit. */
  attach(
    unit: GuaranteeUnit,
    jobId: JobId,
    place: Place,
    perTask: Resources,
  ): void {
    unit.jobs.add(jobId);
    for (const { worker, tasks } of place) {
      const usedHere = unit.usedByJobs.get(worker) ?? createEmptyResources();
      addScaled(usedHere, perTask, tasks);
      unit.usedByJobs.set(worker, usedHere);
    }
  }

  /** Ends `attach` of a job; `place` and `perTask` must be the same. */
  release(
    unit: GuaranteeUnit,
    jobId: JobId,
    place: Place,
    perTask: Resources,
  ): void {
    if (!unit.jobs.delete(jobId)) return;
    for (const { worker, tasks } of place) {
      const usedHere = unit.usedByJobs.get(worker);
      if (usedHere !== undefined) addScaled(usedHere, perTask, -tasks);
    }
    if (unit.jobs.size === 0) unit.usedByJobs.clear();
  }

  #findUnreserved(
    shape: Shape,
    limit: TaskCounter = () => Infinity,
  ): Place[] {
    return findPlaces(
      this.#capacity.racks,
      shape,
      (worker) =>
        Math.min(countUnreserved(worker, shape.perTask), limit(worker)),
    );
  }

  #placeTightly(unit: GuaranteeUnit): void {
    const places = this.#findUnreserved(unit.guarantee.shape);
    const best = chooseTightest(places);
    if (best !== undefined) this.setPlace(unit, best);
  }

  #removeFromFullWorkers(): boolean {
    let changed = false;
    for (const worker of this.#capacity.workers) {
      if (this.#removeFromFullWorker(worker)) changed = true;
    }
    return changed;
  }

  /**
   * Removes units, those without jobs first, until the rest fits the worker; true if any changed.
   */
  #removeFromFullWorker(worker: WorkerState): boolean {
    if (fitsReservations(worker)) return false;
    const affected = this.#units
      .filter((unit) => unit.place?.some((group) => group.worker === worker))
      .sort((left, right) => left.jobs.size - right.jobs.size);
    for (const unit of affected) {
      if (fitsReservations(worker)) return true;
      this.#removePlace(unit);
    }
    return affected.length > 0;
  }

  #removePlace(unit: GuaranteeUnit): void {
    this.setPlace(unit, undefined);
    const jobs = [...unit.jobs];
    unit.jobs.clear();
    unit.usedByJobs.clear();
    for (const jobId of jobs) this.#onDetach(jobId);
  }

  /** Places all units without jobs anew, hardest first; keeps the result only if more units fit. */
  #repack(): void {
    const movable = this.#units.filter((unit) => unit.jobs.size === 0);
    const before = movable.map((unit) => unit.place);
    const unplacedBefore = this.listUnplacedUnits().length;
    for (const unit of movable) this.setPlace(unit, undefined);
    for (const unit of movable) this.#placeTightly(unit);
    if (this.listUnplacedUnits().length < unplacedBefore) return;
    for (const unit of movable) this.setPlace(unit, undefined);
    movable.forEach((unit, index) => this.setPlace(unit, before[index]));
  }
}

function fitsReservations(worker: WorkerState): boolean {
  const { reserved, pinned, capacity } = worker;
  if (reserved.accelerators === 0 && reserved.milliprocessors === 0) {
    return true;
  }
  if (!isUsable(worker)) return false;
  const rest = subtractResources(capacity, reserved, pinned);
  return Math.min(rest.accelerators, rest.milliprocessors, rest.memoryMib) >= 0;
}

/** The place whose racks have the least unreserved capacity, so that emptier racks stay whole. */
function chooseTightest(places: readonly Place[]): Place | undefined {
  let best: Place | undefined;
  let leastUnreserved = Number.POSITIVE_INFINITY;
  for (const place of places) {
    const unreserved = countRackUnreserved(place);
    if (unreserved < leastUnreserved) {
      [best, leastUnreserved] = [place, unreserved];
    }
  }
  return best;
}

/** Size of the tasks in which unreserved capacity is counted. */
const COUNTING_TASK: Resources = {
  milliprocessors: 1_000,
  memoryMib: 1_024,
  accelerators: 1,
};

/**
 * Unreserved capacity of the place's racks, in counting tasks. Ties are broken in favour of the
 * place whose workers have the least capacity in total.
 */
function countRackUnreserved(place: Place): number {
  const racks = new Set(place.map((group) => group.worker.rack));
  let unreserved = 0;
  for (const rack of racks) {
    for (const worker of rack.workers) {
      unreserved += countUnreserved(worker, COUNTING_TASK);
    }
  }
  const workerCapacity = place.reduce(
    (sum, { worker }) => sum + countFitting(worker.capacity, COUNTING_TASK),
    0,
  );
  return unreserved + workerCapacity / 1_000;
}
