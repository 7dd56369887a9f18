/** Evictions where organisations have weighted shares. */
import {
  type EvictionPlan,
  planEviction,
  type RunningUnit,
} from "../eviction.ts";
import type { WorkerCapacity } from "../fit.ts";
import type { WaitingUnit } from "../plan_round.ts";
import type { WeightedShares } from "./weighted_shares.ts";

/**
 * Costs that differ by less are alike: then, the victim is of an organisation above its share.
 * Costs are estimates, of which the durations alone are wrong by 20% and more.
 */
const ALIKE_FACTOR = 1.2;
/** Makes costs of 0 differ. */
const LEAST_COST = 1e-6;

/** The cheapest plan that the shares allow; without shares, that of `planEviction`. */
export function planEvictionByShares<Unit>(
  capacities: readonly WorkerCapacity[],
  request: WaitingUnit<Unit>,
  candidates: readonly RunningUnit<Unit>[],
  shares: WeightedShares | undefined,
): EvictionPlan<Unit> | undefined {
  const isAnyAbove = shares !== undefined &&
    candidates.some((candidate) => shares.isAbove(candidate));
  if (!isAnyAbove) {
    return planEviction(capacities, request, candidates, request);
  }
  const allowed = candidates.filter((victim) =>
    shares.mayEvict(request, victim)
  );
  const originals = new Map(
    allowed.map((victim) => [
      shares.isAbove(victim) ? { ...victim } : {
        ...victim,
        evictionCost: victim.evictionCost * ALIKE_FACTOR + LEAST_COST,
      },
      victim,
    ]),
  );
  const plan = planEviction(
    capacities,
    request,
    [...originals.keys()],
    request,
  );
  if (plan === undefined) return undefined;
  const victims = plan.victims.map((victim) => originals.get(victim)!);
  const cost = victims.reduce((sum, { evictionCost }) => sum + evictionCost, 0);
  return { victims, workers: plan.workers, cost };
}

/**
 * Reclaims capacity for a unit of an organisation below its share from those above theirs, and from
 * any that keeps something if nothing of the unit's organisation runs.
 */
export function planReclaim<Unit>(
  capacities: readonly WorkerCapacity[],
  request: WaitingUnit<Unit>,
  candidates: readonly RunningUnit<Unit>[],
  shares: WeightedShares,
): EvictionPlan<Unit> | undefined {
  const surplus = shares.hasNothing(request)
    ? candidates
    : candidates.filter((candidate) => shares.isAbove(candidate));
  const plan = planEviction(capacities, request, surplus, request);
  return plan !== undefined && shares.allowsReclaim(request, plan.victims)
    ? plan
    : undefined;
}
