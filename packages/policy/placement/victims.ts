/** Chooses the borrowers that leave so that a guaranteed gang gets its place. */
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

export interface VictimChoice {
  readonly victims: readonly JobRecord[];
  /** Accelerator milliseconds of work lost. */
  readonly lostWork: number;
}

/** Work that is lost when the job is evicted now, in accelerator milliseconds. */
function computeLostWork(record: JobRecord, nowMs: number): number {
  const { job, demand } = record;
  const size = Math.max(1, demand.accelerators);
  const keepsWork = job.canCheckpoint &&
    job.checkpointMs <= RECLAIM_CHECKPOINT_LIMIT_MS;
  if (keepsWork) return size * job.checkpointMs;
  return size * Math.max(1, nowMs - (record.startedAtMs ?? nowMs));
}

/** What the worker will have free once all that was asked to go has gone. */
function getComingRoom(
  state: PlacementState,
  worker: WorkerState,
): MutableResources {
  const room = {
    ...subtractResources(worker.capacity, worker.used, worker.claimed),
  };
  for (const [jobId, tasks] of worker.tasks) {
    const record = state.records.get(jobId);
    if (record?.phase !== JOB_PHASE.EVICTING) continue;
    addScaled(room, record.job.shape.perTask, tasks);
  }
  return room;
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

class RoomLedger {
  readonly #rooms = new Map<WorkerState, MutableResources>();
  readonly #needs = new Map<WorkerState, Resources>();

  private constructor() {}

  static create(
    state: PlacementState,
    place: Place,
    perTask: Resources,
  ): RoomLedger {
    const ledger = new RoomLedger();
    for (const { worker, tasks } of place) {
      ledger.#rooms.set(worker, getComingRoom(state, worker));
      ledger.#needs.set(worker, scaleResources(perTask, tasks));
    }
    return ledger;
  }

  isEnough({ worker }: TaskGroup): boolean {
    return fitsWithin(this.#needs.get(worker)!, this.#rooms.get(worker)!);
  }

  /** Counts a victim as gone, or with `sign` -1 as staying. */
  enter(victim: JobRecord, sign: 1 | -1): void {
    for (const { worker, tasks } of victim.place ?? []) {
      const room = this.#rooms.get(worker);
      if (room === undefined) continue;
      addScaled(room, victim.job.shape.perTask, tasks * sign);
    }
  }
}

/** Victims for a place by least lost work; undefined when evicting borrowers does not suffice. */
export function chooseVictims(
  state: PlacementState,
  place: Place,
  perTask: Resources,
  nowMs: number,
): VictimChoice | undefined {
  const ledger = RoomLedger.create(state, place, perTask);
  const chosen = new Map<JobRecord, number>();
  for (const group of place) {
    if (ledger.isEnough(group)) continue;
    const candidates = listEvictable(state, group.worker)
      .map((record) => ({ record, lostWork: computeLostWork(record, nowMs) }))
      .sort((left, right) => left.lostWork - right.lostWork);
    for (const { record, lostWork } of candidates) {
      if (ledger.isEnough(group)) break;
      if (chosen.has(record)) continue;
      chosen.set(record, lostWork);
      ledger.enter(record, 1);
    }
    if (!ledger.isEnough(group)) return undefined;
  }
  spareNeedless(place, ledger, chosen);
  let lostWork = 0;
  for (const lost of chosen.values()) lostWork += lost;
  return { victims: [...chosen.keys()], lostWork };
}

/** Leaves out victims, the costliest first, whose room turned out not to be needed. */
function spareNeedless(
  place: Place,
  ledger: RoomLedger,
  chosen: Map<JobRecord, number>,
): void {
  const costliestFirst = [...chosen].sort((left, right) => right[1] - left[1]);
  for (const [record] of costliestFirst) {
    ledger.enter(record, -1);
    if (place.every((group) => ledger.isEnough(group))) chosen.delete(record);
    else ledger.enter(record, 1);
  }
}

/** The organisation's own borrowers that must go so that `extra` stays within its quota. */
export function chooseQuotaVictims(
  state: PlacementState,
  organisation: OrganisationName,
  extra: Resources,
  nowMs: number,
): readonly JobRecord[] | undefined {
  const none = createEmptyResources();
  const excess = { ...state.computeExcess(organisation, extra) };
  const own = [...state.records.values()].filter((record) =>
    record.job.organisation === organisation
  );
  for (const record of own) {
    if (record.phase !== JOB_PHASE.EVICTING) continue;
    addScaled(excess, record.demand, -1);
  }
  const candidates = own.filter(isEvictable)
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
