/**
 * The concrete reservation plan of one failure domain: every guaranteed gang has a place, and on
 * each worker what is reserved and what pinned work takes never exceeds the capacity. Evicting all
 * other work therefore always leaves room for every guarantee; that is the guarantee invariant, and
 * keeping the plan keeps it. The places are virtual cells in the sense of HiveD (OSDI '20).
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

/** One guaranteed gang. */
export interface GuaranteeUnit {
  readonly guarantee: GuaranteeDeclaration;
  readonly ordinal: number;
  /** Undefined while lost capacity leaves no place for it. */
  place: Place | undefined;
  /** What the holder's own jobs take of it, by worker. */
  readonly taken: Map<WorkerState, MutableResources>;
  readonly jobs: Set<JobId>;
}

/** Called for each job that loses its unit when the plan is revised. */
export type DetachHandler = (jobId: JobId) => void;

function isSameUnit(unit: GuaranteeUnit, other: GuaranteeDeclaration): boolean {
  return unit.guarantee.name === other.name &&
    unit.guarantee.organisation === other.organisation &&
    createShapeKey(unit.guarantee.shape) === createShapeKey(other.shape);
}

/** What the holder's jobs leave of a unit on one worker. */
export function getUnusedUnitCapacity(
  unit: GuaranteeUnit,
  worker: WorkerState,
): Resources {
  const group = unit.place?.find((candidate) => candidate.worker === worker);
  const room = createEmptyResources();
  if (group === undefined) return room;
  addScaled(room, unit.guarantee.shape.perTask, group.tasks);
  const taken = unit.taken.get(worker);
  return taken === undefined ? room : subtractResources(room, taken);
}

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

  /** Units that lost capacity leaves without a place. */
  listUnplacedUnits(): readonly GuaranteeUnit[] {
    return this.#units.filter((unit) => unit.place === undefined);
  }

  listUnitsOf(organisation: OrganisationName): readonly GuaranteeUnit[] {
    return this.#units.filter((unit) =>
      unit.guarantee.organisation === organisation
    );
  }

  /** Takes new declarations in force; units that stay declared keep their places and jobs. */
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
          taken: kept?.taken ?? new Map(),
          jobs: kept?.jobs ?? new Set(),
        });
      }
    }
    for (const unit of old) this.#clear(unit);
    this.#units = next.sort((left, right) =>
      compareShapesHardestFirst(left.guarantee.shape, right.guarantee.shape)
    );
    this.repair();
  }

  /** Finds new places after capacity or pinned work changed. */
  repair(): void {
    while (this.#relieveAll()) {
      // Work that left its unit may itself be pinned and crowd out another unit.
    }
    const missing = this.listUnplacedUnits();
    for (const unit of missing) this.#settle(unit);
    if (this.listUnplacedUnits().length > 0) this.#repack();
  }

  /** Reserves `place` for a unit that holds no job, in place of the old one. */
  move(unit: GuaranteeUnit, place: Place | undefined): void {
    const { perTask } = unit.guarantee.shape;
    if (unit.place !== undefined) {
      this.#capacity.adjustUsage(unit.place, perTask, "reserved", -1);
    }
    unit.place = place;
    if (place !== undefined) {
      this.#capacity.adjustUsage(place, perTask, "reserved", 1);
    }
  }

  /** Candidate places for a unit without a job, as if it had none now. */
  findPlacesFor(unit: GuaranteeUnit, limit: TaskCounter): Place[] {
    const held = unit.place;
    this.move(unit, undefined);
    const places = this.#findUnreserved(unit.guarantee.shape, limit);
    this.move(unit, held);
    return places;
  }

  /** Counts a job of the unit's holder inside it. */
  attach(
    unit: GuaranteeUnit,
    jobId: JobId,
    place: Place,
    perTask: Resources,
  ): void {
    unit.jobs.add(jobId);
    for (const { worker, tasks } of place) {
      const taken = unit.taken.get(worker) ?? createEmptyResources();
      addScaled(taken, perTask, tasks);
      unit.taken.set(worker, taken);
    }
  }

  release(
    unit: GuaranteeUnit,
    jobId: JobId,
    place: Place,
    perTask: Resources,
  ): void {
    if (!unit.jobs.delete(jobId)) return;
    for (const { worker, tasks } of place) {
      const taken = unit.taken.get(worker);
      if (taken !== undefined) addScaled(taken, perTask, -tasks);
    }
    if (unit.jobs.size === 0) unit.taken.clear();
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

  #settle(unit: GuaranteeUnit): void {
    const places = this.#findUnreserved(unit.guarantee.shape);
    const best = chooseTightest(places);
    if (best !== undefined) this.move(unit, best);
  }

  #relieveAll(): boolean {
    let changed = false;
    for (const worker of this.#capacity.workers) {
      if (this.#relieve(worker)) changed = true;
    }
    return changed;
  }

  /** Takes units off a worker that can no longer carry them, those without jobs first. */
  #relieve(worker: WorkerState): boolean {
    if (isRelieved(worker)) return false;
    const touching = this.#units
      .filter((unit) => unit.place?.some((group) => group.worker === worker))
      .sort((left, right) => left.jobs.size - right.jobs.size);
    for (const unit of touching) {
      if (isRelieved(worker)) return true;
      this.#clear(unit);
    }
    return touching.length > 0;
  }

  #clear(unit: GuaranteeUnit): void {
    this.move(unit, undefined);
    const jobs = [...unit.jobs];
    unit.jobs.clear();
    unit.taken.clear();
    for (const jobId of jobs) this.#onDetach(jobId);
  }

  /** Places all units without jobs anew, hardest first; keeps the result only if more fit. */
  #repack(): void {
    const movable = this.#units.filter((unit) => unit.jobs.size === 0);
    const before = movable.map((unit) => unit.place);
    const brokenBefore = this.listUnplacedUnits().length;
    for (const unit of movable) this.move(unit, undefined);
    for (const unit of movable) this.#settle(unit);
    if (this.listUnplacedUnits().length < brokenBefore) return;
    for (const unit of movable) this.move(unit, undefined);
    movable.forEach((unit, index) => this.move(unit, before[index]));
  }
}

function isRelieved(worker: WorkerState): boolean {
  const { reserved, pinned, capacity } = worker;
  if (reserved.accelerators === 0 && reserved.milliprocessors === 0) {
    return true;
  }
  if (!isUsable(worker)) return false;
  const rest = subtractResources(capacity, reserved, pinned);
  return Math.min(rest.accelerators, rest.milliprocessors, rest.memoryMib) >= 0;
}

/** The place whose racks have least unreserved room left: emptier racks stay whole. */
function chooseTightest(places: readonly Place[]): Place | undefined {
  let best: Place | undefined;
  let bestRoom = Number.POSITIVE_INFINITY;
  for (const place of places) {
    const room = measureRackRoom(place);
    if (room < bestRoom) [best, bestRoom] = [place, room];
  }
  return best;
}

const UNIT_TASK: Resources = {
  milliprocessors: 1_000,
  memoryMib: 1_024,
  accelerators: 1,
};

function measureRackRoom(place: Place): number {
  const racks = new Set(place.map((group) => group.worker.rack));
  let room = 0;
  for (const rack of racks) {
    for (const worker of rack.workers) {
      room += countUnreserved(worker, UNIT_TASK);
    }
  }
  const own = place.reduce(
    (sum, { worker }) => sum + countFitting(worker.capacity, UNIT_TASK),
    0,
  );
  return room + own / 1_000;
}
