/**
 * Plans one round of the cell scheduler: which waiting units start on which workers, and which
 * running units are evicted for others. A pure function; the caller executes the plan.
 */
import type { ServiceName, WorkerName } from "@coltsfootpond/common";
import {
  type EvictionPlan,
  planEviction,
  type RunningUnit,
} from "./eviction.ts";
import {
  createWorkerCapacity,
  findFit,
  type FitRequest,
  subtractFit,
  type WorkerCapacity,
} from "./fit.ts";
import type { CellResources, WorkerView } from "./types.ts";
import { compareRanks, type Rank, RANK_TIER } from "./job_rank.ts";

/** A unit that is due and waits for workers. */
export interface WaitingUnit<Unit> extends FitRequest {
  readonly unit: Unit;
  readonly rank: Rank;
  /** May start in another rack than its data, or spread over racks, where it runs slower. */
  readonly allowRemote: boolean;
  /**
   * Job value gained by a start now instead of later; units that cost less may be evicted for it.
   */
  readonly evictionGain: number;
  /** Whether it may use the headroom for urgent jobs. */
  readonly mayUseHeadroom: boolean;
}

/** Workers and units at the time of the round; `Unit` is the caller's own type. */
export interface PlanInput<Unit> {
  readonly workers: readonly WorkerView[];
  readonly waiting: readonly WaitingUnit<Unit>[];
  readonly running: readonly RunningUnit<Unit>[];
  /** Accelerators of each service that units without `mayUseHeadroom` leave free; default none. */
  readonly urgentHeadroom?: ReadonlyMap<ServiceName, number>;
}

/** A unit to start, with one worker per task. */
export interface Placement<Unit> {
  readonly unit: Unit;
  readonly workers: readonly WorkerName[];
}

/** A running unit to evict for a waiting unit, and the workers that the waiting unit waits for. */
export interface Eviction<Unit> {
  readonly unit: Unit;
  readonly forUnit: Unit;
  readonly workers: readonly WorkerName[];
}

/** Units to start and units to evict. */
export interface RoundPlan<Unit> {
  readonly placements: readonly Placement<Unit>[];
  readonly evictions: readonly Eviction<Unit>[];
}

/** Most units for which one round searches for victims; limits the duration of a round. */
const MAXIMUM_EVICTION_PLANS = 8;

/**
 * Plans one round, in order of rank; units of equal rank keep their order. After one unit of a step
 * has not fitted, the other units of that step are skipped.
 */
export function planRound<Unit>(input: PlanInput<Unit>): RoundPlan<Unit> {
  const capacities = input.workers.map(createWorkerCapacity);
  const placements: Placement<Unit>[] = [];
  const evictions: Eviction<Unit>[] = [];
  const evicted = new Set<RunningUnit<Unit>>();
  const stepsWithoutFit = new Set<string>();
  let evictionPlans = 0;
  const spare = sumBeyondHeadroom(input, ({ free }) => free);
  // A unit that does not fit into an empty service less its headroom would never start.
  const largest = sumBeyondHeadroom(input, ({ capacity }) => capacity);
  const waiting = [...input.waiting].sort((left, right) =>
    compareRanks(left.rank, right.rank)
  );
  for (const request of waiting) {
    if (stepsWithoutFit.has(request.stepKey)) continue;
    const accelerators = request.step.need.accelerators * request.count;
    const spareOfService = spare.get(request.service) ?? 0;
    const mayUseHeadroom = request.mayUseHeadroom ||
      accelerators > (largest.get(request.service) ?? 0);
    if (!mayUseHeadroom && accelerators > spareOfService) {
      stepsWithoutFit.add(request.stepKey);
      continue;
    }
    const fit = findFit(capacities, request, request);
    if (fit !== undefined) {
      subtractFit(fit, request);
      spare.set(request.service, spareOfService - accelerators);
      placements.push({
        unit: request.unit,
        workers: fit.capacities.map(({ view }) => view.worker),
      });
      continue;
    }
    stepsWithoutFit.add(request.stepKey);
    const mayEvict = request.rank.tier === RANK_TIER.GUARANTEED ||
      request.evictionGain > 0;
    if (!mayEvict || evictionPlans >= MAXIMUM_EVICTION_PLANS) continue;
    evictionPlans++;
    const candidates = input.running.filter((unit) => !evicted.has(unit));
    const eviction = chooseEvictions(capacities, request, candidates);
    for (const victim of eviction?.victims ?? []) {
      evicted.add(victim);
      evictions.push({
        unit: victim.unit,
        forUnit: request.unit,
        workers: [...eviction?.workers ?? []],
      });
    }
  }
  return { placements, evictions };
}

/** Sums the accelerators of the workers of each service and subtracts its headroom. */
function sumBeyondHeadroom<Unit>(
  { workers, urgentHeadroom }: PlanInput<Unit>,
  getResources: (worker: WorkerView) => CellResources,
): Map<ServiceName, number> {
  const sums = new Map<ServiceName, number>();
  for (const worker of workers) {
    const { service } = worker;
    const sum = sums.get(service) ?? -(urgentHeadroom?.get(service) ?? 0);
    sums.set(service, sum + getResources(worker).accelerators);
  }
  return sums;
}

/**
 * Returns the running units to evict so that the request fits, together with the capacity that is
 * already being released, if that is justified. Removes the workers that the request waits for from `capacities`, so that
 * nothing else is placed on them in this round.
 */
function chooseEvictions<Unit>(
  capacities: WorkerCapacity[],
  request: WaitingUnit<Unit>,
  running: readonly RunningUnit<Unit>[],
): EvictionPlan<Unit> | undefined {
  const plan = planEviction(capacities, request, running, request);
  if (plan === undefined) return undefined;
  const isJustified = request.rank.tier === RANK_TIER.GUARANTEED ||
    plan.cost < request.evictionGain;
  if (!isJustified) return undefined;
  const others = capacities.filter(({ view }) =>
    !plan.workers.has(view.worker)
  );
  capacities.splice(0, capacities.length, ...others);
  return plan;
}
