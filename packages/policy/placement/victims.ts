/**
 * Chooses the borrowers to evict, either to free the workers of a guaranteed place or to make room
 * in an organisation's quota.
 */
import type { OrganisationName, Resources } from "@coltsfootpond/common";
import type { Place, TaskGroup, WorkerState } from "./capacity_model.ts";
import { RECLAIM_CHECKPOINT_LIMIT_MS } from "./constants.ts";
import { isEvictable, JOB_PHASE, type JobRecord } from "./job_record.ts";
import type { PlacementState } from "./placement_state.ts";
import {
  addScaled,
  createEmptyResources,
  fitsWithin,
  type MutableResources,
  scaleResources,
  subtractResources,
} from "./resources.ts";

/** Jobs to evict for one place. */
export interface VictimChoice {
  readonly victims: readonly JobRecord[];
  /** Work lost by the evictions, in accelerator-milliseconds. */
  readonly lostWork: number;
}

/**
 * Work lost if the job is evicted now, in accelerator-milliseconds: the time that the checkpoint
 * takes, or the whole run if the job cannot write one quickly enough.
 */
function computeLostWork(record: JobRecord, nowMs: number): number {
  const { job, demand } = record;
  const size = Math.max(1, demand.accelerators);
  const keepsWork = job.canCheckpoint &&
    job.checkpointMs <= RECLAIM_CHECKPOINT_LIMIT_MS;
  if (keepsWork) return size * job.checkpointMs;
  return size * Math.max(1, nowMs - (record.startedAtMs ?? nowMs));
}

/** Capacity that the worker will have free once all jobs being evicted have left. */
function getAvailability(
  state: PlacementState,
  worker: WorkerState,
): MutableResources {
  const available = {
    ...subtractResources(worker.capacity, worker.used, worker.claimed),
  };
  for (const [jobId, tasks] of worker.tasks) {
    const record = state.records.get(jobId);
    if (record?.phase !== JOB_PHASE.EVICTING) continue;
    addScaled(available, record.job.shape.perTask, tasks);
  }
  return available;
}

function listEvictable(
  state: PlacementState,
  worker: WorkerState,
): JobRecord[] {
  const records: JobRecord[] = [];
  for (const jobId of worker.tasks.keys()) {
    const record = state.records.get(jobId);
    if (record !== undefined && isEvictable(record)) records.push(record);
  }
  return records;
}

/** Availability on the workers of one place while victims for it are chosen. */
class PlaceAvailability {
  readonly #availableByWorker = new Map<WorkerState, MutableResources>();
  readonly #neededByWorker = new Map<WorkerState, Resources>();

  private constructor() {}

  static create(
    state: PlacementState,
    place: Place,
    perTask: Resources,
  ): PlaceAvailability {
    const availability = new PlaceAvailability();
    for (const { worker, tasks } of place) {
      availability.#availableByWorker.set(
        worker,
        getAvailability(state, worker),
      );
      availability.#neededByWorker.set(worker, scaleResources(perTask, tasks));
    }
    return availability;
  }

  /** Whether the group's worker has enough available for all tasks that the place puts on it. */
  hasCapacityFor({ worker }: TaskGroup): boolean {
    return fitsWithin(
      this.#neededByWorker.get(worker)!,
      this.#availableByWorker.get(worker)!,
    );
  }

  /** Counts a victim as evicted, or with `sign` -1 as staying. */
  adjust(victim: JobRecord, sign: 1 | -1): void {
    for (const { worker, tasks } of victim.place ?? []) {
      const available = this.#availableByWorker.get(worker);
      if (available === undefined) continue;
      addScaled(available, victim.job.shape.perTask, tasks * sign);
    }
  }
}

/**
 * Chooses the victims for a place, on each worker those with the least lost work first; undefined
 * if evicting all evictable borrowers there does not suffice.
 */
export function chooseVictims(
  state: PlacementState,
  place: Place,
  perTask: Resources,
  nowMs: number,
): VictimChoice | undefined {
  const availability = PlaceAvailability.create(state, place, perTask);
  const chosen = new Map<JobRecord, number>();
  for (const group of place) {
    if (availability.hasCapacityFor(group)) continue;
    const candidates = listEvictable(state, group.worker)
      .map((record) => ({ record, lostWork: computeLostWork(record, nowMs) }))
      .sort((left, right) => left.lostWork - right.lostWork);
    for (const { record, lostWork } of candidates) {
      if (availability.hasCapacityFor(group)) break;
      if (chosen.has(record)) continue;
      chosen.set(record, lostWork);
      availability.adjust(record, 1);
    }
    if (!availability.hasCapacityFor(group)) return undefined;
  }
  removeUnneeded(place, availability, chosen);
  let lostWork = 0;
  for (const lost of chosen.values()) lostWork += lost;
  return { victims: [...chosen.keys()], lostWork };
}

/** Removes victims that turned out not to be needed, those with the most lost work first. */
function removeUnneeded(
  place: Place,
  availability: PlaceAvailability,
  chosen: Map<JobRecord, number>,
): void {
  const costliestFirst = [...chosen].sort((left, right) => right[1] - left[1]);
  for (const [record] of costliestFirst) {
    availability.adjust(record, -1);
    if (place.every((group) => availability.hasCapacityFor(group))) {
      chosen.delete(record);
    } else availability.adjust(record, 1);
  }
}

/**
 * Chooses borrowers of the organisation to evict so that its quota has room for `extra`; undefined
 * if evicting all evictable ones does not suffice.
 */
export function chooseQuotaVictims(
  state: PlacementState,
  organisation: OrganisationName,
  extra: Resources,
  nowMs: number,
): readonly JobRecord[] | undefined {
  const none = createEmptyResources();
  const excess = { ...state.computeExcess(organisation, extra) };
  const ownRecords = [...state.records.values()].filter((record) =>
    record.job.organisation === organisation
  );
  for (const record of ownRecords) {
    if (record.phase !== JOB_PHASE.EVICTING) continue;
    addScaled(excess, record.demand, -1);
  }
  const candidates = ownRecords.filter(isEvictable)
    .map((record) => ({ record, lostWork: computeLostWork(record, nowMs) }))
    .sort((left, right) => left.lostWork - right.lostWork);
  const victims: JobRecord[] = [];
  for (const { record } of candidates) {
    if (fitsWithin(excess, none)) break;
    addScaled(excess, record.demand, -1);
    victims.push(record);
  }
  return fitsWithin(excess, none) ? victims : undefined;
}
