/**
 * State of one failure domain: the only module that changes what is placed, claimed and reserved.
 */
import type {
  JobId,
  OrganisationDeclaration,
  OrganisationName,
  Resources,
} from "@coltsfootpond/common";
import {
  type GuaranteeUnit,
  ReservationPlan,
} from "../guarantees/reservation_plan.ts";
import {
  CapacityModel,
  countUnreserved,
  isUsable,
  type Place,
} from "./capacity_model.ts";
import { findPlaces } from "./packing.ts";
import { FragmentationModel } from "./fragmentation.ts";
import { isPlaced, JOB_PHASE, type JobRecord } from "./job_record.ts";
import {
  addScaled,
  computeDominantShare,
  countFitting,
  createEmptyResources,
  fitsWithin,
  type MutableResources,
  subtractResources,
} from "./resources.ts";

/** Resources of the jobs of one organisation. */
interface OrganisationUsage {
  /** Placed and claimed. */
  readonly used: MutableResources;
  /** Placed outside the organisation's guarantees. */
  readonly borrowed: MutableResources;
  /** The part of `borrowed` that is pinned. */
  readonly pinned: MutableResources;
}

/** Jobs, workers and guarantee units of one engine, with the usage of each organisation. */
export class PlacementState {
  readonly records = new Map<JobId, JobRecord>();
  readonly claiming = new Set<JobRecord>();
  readonly fragmentation = FragmentationModel.create();
  readonly capacity: CapacityModel;
  readonly plan: ReservationPlan;
  readonly #usage = new Map<OrganisationName, OrganisationUsage>();
  readonly #onUnclaimed: (record: JobRecord) => void;
  #organisations = new Map<OrganisationName, OrganisationDeclaration>();
  #version = 0;
  #runningTasks = 0;

  private constructor(onUnclaimed: (record: JobRecord) => void) {
    this.#onUnclaimed = onUnclaimed;
    this.capacity = CapacityModel.create({
      onChange: (worker) => this.fragmentation.recount(worker),
    });
    this.plan = ReservationPlan.create({
      capacity: this.capacity,
      onDetach: (jobId) => this.#handleDetached(jobId),
    });
  }

  /** `onUnclaimed` is called for each job that lost a claimed place and waits again. */
  static create(
    options: { readonly onUnclaimed: (record: JobRecord) => void },
  ): PlacementState {
    return new PlacementState(options.onUnclaimed);
  }

  /**
   * Increases whenever a job may fit that did not before; the head of each job class in the queue
   * is tried again then.
   */
  get version(): number {
    return this.#version;
  }

  get runningTasks(): number {
    return this.#runningTasks;
  }

  incrementVersion(): void {
    this.#version++;
  }

  setOrganisations(organisations: readonly OrganisationDeclaration[]): void {
    this.#organisations = new Map(
      organisations.map((organisation) => [organisation.name, organisation]),
    );
  }

  getOrganisation(
    name: OrganisationName,
  ): OrganisationDeclaration | undefined {
    return this.#organisations.get(name);
  }

  getUsed(organisation: OrganisationName): Resources {
    return this.#getUsage(organisation).used;
  }

  /** Whether the job fits the rest of its organisation's quota. */
  isWithinQuota(record: JobRecord): boolean {
    const quota = this.#organisations.get(record.job.organisation)?.quota;
    if (quota === undefined) return true;
    const rest = subtractResources(
      quota,
      this.getUsed(record.job.organisation),
    );
    return fitsWithin(record.demand, rest);
  }

  /** Whether the organisation has placed and claimed no more than its quota. */
  isUnderQuota(organisation: OrganisationName): boolean {
    const none = createEmptyResources();
    return fitsWithin(this.computeExcess(organisation, none), none);
  }

  /**
   * Whether the job may borrow within the quota. Pinned borrowers must leave enough of it for all
   * guarantees of the organisation, since they cannot be evicted when the guarantees are used.
   */
  mayBorrow(record: JobRecord): boolean {
    if (!this.isWithinQuota(record)) return false;
    const { organisation } = record.job;
    const quota = this.#organisations.get(organisation)?.quota;
    if (quota === undefined || !record.pinned) return true;
    const { pinned } = this.#getUsage(organisation);
    const rest = { ...subtractResources(quota, pinned) };
    for (const { guarantee } of this.plan.listUnitsOf(organisation)) {
      addScaled(rest, guarantee.shape.perTask, -guarantee.shape.tasks);
    }
    return fitsWithin(record.demand, rest);
  }

  /**
   * Resources placed and claimed beyond the quota if `extra` is added; negative below the quota.
   */
  computeExcess(organisation: OrganisationName, extra: Resources): Resources {
    const quota = this.#organisations.get(organisation)?.quota;
    if (quota === undefined) return createEmptyResources();
    const excess = { ...subtractResources(this.getUsed(organisation), quota) };
    addScaled(excess, extra, 1);
    return excess;
  }

  /**
   * Whether the job must not be placed on reserved capacity. This holds for pinned jobs, and for a
   * gang that cannot checkpoint if there is unreserved capacity for it.
   */
  avoidsReserved(record: JobRecord): boolean {
    if (record.pinned) return true;
    const { shape, canCheckpoint } = record.job;
    if (canCheckpoint || shape.tasks === 1) return false;
    const places = findPlaces(
      this.capacity.racks,
      shape,
      (worker) => countUnreserved(worker, shape.perTask),
    );
    return places.length > 0;
  }

  /** Dominant share of the resources that an organisation borrows, divided by its weight. */
  computeBorrowedShare(organisation: OrganisationName): number {
    const weight = this.#organisations.get(organisation)?.weight ?? 1;
    const { borrowed } = this.#getUsage(organisation);
    return computeDominantShare(borrowed, this.capacity.total) /
      Math.max(weight, Number.EPSILON);
  }

  /** Places a job; one that has claimed a place keeps its guarantee unit. */
  put(
    record: JobRecord,
    place: Place,
    unit: GuaranteeUnit | undefined,
    nowMs: number,
  ): void {
    if (record.phase === JOB_PHASE.CLAIMING) this.#endClaim(record);
    const { job } = record;
    const { perTask } = job.shape;
    this.capacity.adjustUsage(place, perTask, "used", 1);
    for (const { worker, tasks } of place) worker.tasks.set(job.jobId, tasks);
    const usage = this.#getUsage(job.organisation);
    addScaled(usage.used, record.demand, 1);
    record.phase = JOB_PHASE.PLACED;
    record.place = place;
    record.placedAtMs = nowMs;
    record.startedAtMs = undefined;
    this.#runningTasks += job.shape.tasks;
    if (unit === undefined) this.#adjustBorrowed(record, 1);
    else this.#attach(record, unit);
  }

  /** Removes a placed job from its workers. */
  remove(record: JobRecord): void {
    if (!isPlaced(record) || record.place === undefined) return;
    const { job, place } = record;
    this.capacity.adjustUsage(place, job.shape.perTask, "used", -1);
    for (const { worker } of place) worker.tasks.delete(job.jobId);
    addScaled(this.#getUsage(job.organisation).used, record.demand, -1);
    this.#runningTasks -= job.shape.tasks;
    if (record.unit === undefined) this.#adjustBorrowed(record, -1);
    else this.#detach(record, record.unit);
    record.place = undefined;
    this.#version++;
  }

  /** Claims a place inside a guarantee unit until evicted work has left it. */
  claim(record: JobRecord, place: Place, unit: GuaranteeUnit): void {
    this.capacity.adjustUsage(place, record.job.shape.perTask, "claimed", 1);
    addScaled(this.#getUsage(record.job.organisation).used, record.demand, 1);
    record.phase = JOB_PHASE.CLAIMING;
    record.place = place;
    this.claiming.add(record);
    this.#attach(record, unit);
  }

  /** Releases a claimed place; the job waits again. */
  unclaim(record: JobRecord): void {
    if (record.phase !== JOB_PHASE.CLAIMING) return;
    if (record.unit !== undefined) this.#detach(record, record.unit);
    this.#endClaim(record);
    record.phase = JOB_PHASE.WAITING;
    record.place = undefined;
    this.#version++;
  }

  /** Whether a claimed place is free now, so that the job can be placed. */
  isPlaceFree(place: Place, record: JobRecord): boolean {
    const { perTask } = record.job.shape;
    return place.every(({ worker, tasks }) =>
      isUsable(worker) &&
      countFitting(subtractResources(worker.capacity, worker.used), perTask) >=
        tasks
    );
  }

  /** Makes a placed job of a guarantee unit a borrower, so that it can be evicted. */
  convertToBorrowed(record: JobRecord): void {
    if (record.unit === undefined || !isPlaced(record)) return;
    this.#detach(record, record.unit);
    this.#adjustBorrowed(record, 1);
  }

  /** Counts a placed borrower inside a guarantee unit. */
  moveIntoUnit(record: JobRecord, unit: GuaranteeUnit): void {
    this.#adjustBorrowed(record, -1);
    this.#attach(record, unit);
  }

  #endClaim(record: JobRecord): void {
    if (record.place === undefined) return;
    this.capacity.adjustUsage(
      record.place,
      record.job.shape.perTask,
      "claimed",
      -1,
    );
    addScaled(this.#getUsage(record.job.organisation).used, record.demand, -1);
    this.claiming.delete(record);
  }

  #attach(record: JobRecord, unit: GuaranteeUnit): void {
    const { job, place } = record;
    if (place === undefined || unit.jobs.has(job.jobId)) return;
    record.unit = unit;
    this.plan.attach(unit, job.jobId, place, job.shape.perTask);
  }

  #detach(record: JobRecord, unit: GuaranteeUnit): void {
    const { job, place } = record;
    record.unit = undefined;
    if (place === undefined) return;
    this.plan.release(unit, job.jobId, place, job.shape.perTask);
  }

  /** Called when the job's guarantee unit lost its place or was removed from the plan. */
  #handleDetached(jobId: JobId): void {
    const record = this.records.get(jobId);
    if (record === undefined) return;
    record.unit = undefined;
    if (record.phase === JOB_PHASE.CLAIMING) {
      this.unclaim(record);
      this.#onUnclaimed(record);
    } else if (isPlaced(record)) {
      this.#adjustBorrowed(record, 1);
    }
  }

  /** Adds the job to the borrowed usage of its organisation, or with `sign` -1 subtracts it. */
  #adjustBorrowed(record: JobRecord, sign: 1 | -1): void {
    const { job, place, demand, pinned } = record;
    const usage = this.#getUsage(job.organisation);
    addScaled(usage.borrowed, demand, sign);
    if (!pinned) return;
    addScaled(usage.pinned, demand, sign);
    if (place !== undefined) {
      this.capacity.adjustUsage(place, job.shape.perTask, "pinned", sign);
    }
  }

  #getUsage(organisation: OrganisationName): OrganisationUsage {
    let usage = this.#usage.get(organisation);
    if (usage === undefined) {
      usage = {
        used: createEmptyResources(),
        borrowed: createEmptyResources(),
        pinned: createEmptyResources(),
      };
      this.#usage.set(organisation, usage);
    }
    return usage;
  }
}
