/**
 * One round of the cell scheduler: which waiting units start where, and which running units make
 * room for urgent work that a guarantee covers. Pure; the caller carries the plan out.
 */
import type { WorkerName } from "@coltsfootpond/common";
import {
  add,
  countedNeed,
  createRoom,
  findFit,
  type FitRequest,
  type Room,
  takeRoom,
} from "./fit.ts";
import type { StepSpec, WorkerView } from "./types.ts";
import { compareRanks, type Rank, TIER } from "./worth.ts";

/** A unit that could start. */
export interface WaitingUnit<Unit> extends FitRequest {
  readonly unit: Unit;
  readonly rank: Rank;
  readonly waitedMs: number;
}

/** A unit that runs. */
export interface RunningUnit<Unit> {
  readonly unit: Unit;
  readonly step: StepSpec;
  readonly stepKey: string;
  readonly workers: readonly WorkerName[];
  readonly isEvictable: boolean;
  /** Work that an eviction would throw away, in worker-milliseconds. */
  readonly lossMs: number;
}

export interface PlanInput<Unit> {
  readonly workers: readonly WorkerView[];
  readonly waiting: readonly WaitingUnit<Unit>[];
  readonly running: readonly RunningUnit<Unit>[];
}

export interface Placement<Unit> {
  readonly unit: Unit;
  readonly workers: readonly WorkerName[];
}

export interface RoundPlan<Unit> {
  readonly placements: readonly Placement<Unit>[];
  readonly evictions: readonly Unit[];
}

/** How long a unit waits for a place near its data before it goes elsewhere. */
const LOCAL_WAIT_MS = 1_500;
/** Evictions of one round, so that a round stays short. */
const MAXIMUM_EVICTIONS = 64;

/** Plans one round. Units of equal rank keep their order. */
export function planRound<Unit>(input: PlanInput<Unit>): RoundPlan<Unit> {
  const rooms = input.workers.map(createRoom);
  const placements: Placement<Unit>[] = [];
  const evictions: Unit[] = [];
  const fullSteps = new Set<string>();
  const candidates = input.running.filter(({ isEvictable }) => isEvictable);
  const waiting = [...input.waiting].sort((left, right) =>
    compareRanks(left.rank, right.rank)
  );
  for (const request of waiting) {
    if (fullSteps.has(request.stepKey)) continue;
    const fit = findFit(rooms, request, {
      allowRemote: request.waitedMs >= LOCAL_WAIT_MS ||
        request.rank.tier === TIER.ENTITLED,
    });
    if (fit !== undefined) {
      takeRoom(fit, request);
      placements.push({
        unit: request.unit,
        workers: fit.rooms.map(({ view }) => view.worker),
      });
      continue;
    }
    fullSteps.add(request.stepKey);
    if (request.rank.tier !== TIER.ENTITLED) continue;
    const victims = makeRoom(rooms, request, candidates, evictions);
    for (const victim of victims) evictions.push(victim.unit);
  }
  return { placements, evictions };
}

/**
 * The running units whose end, beside those that are ending already, lets the request fit: the
 * cheapest first and no more than needed. Empty when none are needed or none suffice. Nothing
 * else is placed in this round on the workers that the request waits for.
 */
function makeRoom<Unit>(
  rooms: Room[],
  request: FitRequest,
  candidates: readonly RunningUnit<Unit>[],
  chosen: readonly Unit[],
): readonly RunningUnit<Unit>[] {
  const trial = rooms.map((room) => ({
    ...room,
    free: add(room.free, room.view.releasing),
  }));
  const byWorker = new Map(trial.map((room) => [room.view.worker, room]));
  const open = candidates.filter(({ unit }) => !chosen.includes(unit))
    .sort((left, right) => left.lossMs - right.lossMs)
    .slice(0, MAXIMUM_EVICTIONS);
  const victims: RunningUnit<Unit>[] = [];
  for (const next of [undefined, ...open]) {
    if (next !== undefined) {
      release(byWorker, next);
      victims.push(next);
    }
    const fit = findFit(trial, request, { allowRemote: true });
    if (fit === undefined) continue;
    const used = new Set(fit.rooms.map(({ view }) => view.worker));
    const others = rooms.filter(({ view }) => !used.has(view.worker));
    rooms.splice(0, rooms.length, ...others);
    return victims.filter(({ workers }) =>
      workers.some((worker) => used.has(worker))
    );
  }
  return [];
}

function release<Unit>(
  rooms: ReadonlyMap<WorkerName, Room>,
  victim: RunningUnit<Unit>,
): void {
  const need = countedNeed(victim.step);
  for (const worker of victim.workers) {
    const room = rooms.get(worker);
    if (room !== undefined) room.free = add(room.free, need);
  }
}
