/**
 * One round of the cell scheduler: which waiting units start where, and which running units make
 * room for others. Pure; the caller carries the plan out.
 */
import type { WorkerName } from "@coltsfootpond/common";
import { planEviction, type RunningUnit } from "./eviction.ts";
import {
  createRoom,
  findFit,
  type FitRequest,
  takeRoom,
  type WorkerCapacity,
} from "./fit.ts";
import type { WorkerView } from "./types.ts";
import { compareRanks, type Rank, RANK_TIER } from "./job_rank.ts";

/** A unit that could start. */
export interface WaitingUnit<Unit> extends FitRequest {
  readonly unit: Unit;
  readonly rank: Rank;
  /** May start away from its data or spread over racks, where it is slower. */
  readonly allowRemote: boolean;
  /** Worth that a start now earns over a start later; others may be stopped for less. */
  readonly evictionGain: number;
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

/** Units for which a round looks for victims, so that a round stays short. */
const MAXIMUM_EVICTION_PLANS = 8;

/** Plans one round. Units of equal rank keep their order. */
export function planRound<Unit>(input: PlanInput<Unit>): RoundPlan<Unit> {
  const rooms = input.workers.map(createRoom);
  const placements: Placement<Unit>[] = [];
  const evicted = new Set<RunningUnit<Unit>>();
  const fullSteps = new Set<string>();
  let evictionPlans = 0;
  const waiting = [...input.waiting].sort((left, right) =>
    compareRanks(left.rank, right.rank)
  );
  for (const request of waiting) {
    if (fullSteps.has(request.stepKey)) continue;
    const fit = findFit(rooms, request, request);
    if (fit !== undefined) {
      takeRoom(fit, request);
      placements.push({
        unit: request.unit,
        workers: fit.rooms.map(({ view }) => view.worker),
      });
      continue;
    }
    fullSteps.add(request.stepKey);
    const mayEvict = request.rank.tier === RANK_TIER.GUARANTEED ||
      request.evictionGain > 0;
    if (!mayEvict || evictionPlans >= MAXIMUM_EVICTION_PLANS) continue;
    evictionPlans++;
    const open = input.running.filter((unit) => !evicted.has(unit));
    makeRoom(rooms, request, open).forEach((unit) => evicted.add(unit));
  }
  return { placements, evictions: [...evicted].map(({ unit }) => unit) };
}

/**
 * The running units whose end, beside those that are ending already, lets the request fit. Nothing
 * else is placed in this round on the workers that the request waits for.
 */
function makeRoom<Unit>(
  rooms: WorkerCapacity[],
  request: WaitingUnit<Unit>,
  running: readonly RunningUnit<Unit>[],
): readonly RunningUnit<Unit>[] {
  const plan = planEviction(rooms, request, running, request);
  if (plan === undefined) return [];
  const isWorthIt = request.rank.tier === RANK_TIER.GUARANTEED ||
    plan.cost < request.evictionGain;
  if (!isWorthIt) return [];
  const others = rooms.filter(({ view }) => !plan.workers.has(view.worker));
  rooms.splice(0, rooms.length, ...others);
  return plan.victims;
}
