/** Plans evictions for a waiting unit and decides whether they are worth their cost. */
import {
  type EvictionPlan,
  planEviction,
  type RunningUnit,
} from "../eviction.ts";
import type { FitRequest, WorkerCapacity } from "../fit.ts";

/** A waiting unit for which other units may be evicted. */
export interface EvictionRequest extends FitRequest {
  readonly allowRemote: boolean;
  readonly evictionGain: number;
  /** Runs that end within this time are waited for instead of evicted; default none. */
  readonly endsWithinMs?: number;
}

/**
 * The cheapest evictions that make the request fit; undefined if there are none, or if they cost
 * more than the request gains and no guarantee covers it. A plan without victims only waits, for
 * capacity that is being released or for runs that are about to end.
 */
export function planJustifiedEviction<Unit>(
  capacities: readonly WorkerCapacity[],
  request: EvictionRequest,
  running: readonly RunningUnit<Unit>[],
  isGuaranteed: boolean,
  planCheapest: typeof planEviction<Unit> = planEviction,
): EvictionPlan<Unit> | undefined {
  const { allowRemote, evictionGain, endsWithinMs } = request;
  if (!isGuaranteed && evictionGain <= 0) return undefined;
  const plan = planCheapest(capacities, request, running, {
    allowRemote,
    endsWithinMs,
    mayEvictGuarded: isGuaranteed,
  });
  if (plan === undefined) return undefined;
  return isGuaranteed || plan.cost < evictionGain ? plan : undefined;
}
