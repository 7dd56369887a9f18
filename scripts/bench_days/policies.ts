/**
 * The policies that a day is replayed with: coltsfootpond's planner and admission, the planner
 * without refusals, without headroom for urgent jobs, without speeds or with the actual speeds of the
 * workers, and baselines with another order of waiting units and without evictions.
 */
import {
  countFitting,
  createWorkerCapacity,
  isEligible,
  planRound,
  RANK_TIER,
  type RoundPlan,
  subtractFit,
  type WaitingUnit,
  type WorkerCapacity,
} from "@coltsfootpond/policy";
import {
  createPlanInput,
  type PlanInputOptions,
} from "../../packages/node/cell/plan_input.ts";
import type { SpeedSource } from "./cell_model.ts";
import type { Unit } from "../../packages/node/cell/live_job.ts";

/** A named policy that plans one round from the same input as the lease holder's planner. */
export interface DayPolicy {
  readonly name: string;
  /** Whether submitted jobs may be refused, as entries do. */
  readonly hasAdmission?: boolean;
  readonly speeds: SpeedSource;
  decide(options: PlanInputOptions): RoundPlan<Unit>;
}

/**
 * Plans with the usual input, but ranks units by ascending sort key and evicts nothing for them.
 * Units that a guarantee covers keep their rank and may still cause evictions.
 */
function createBaseline(
  name: string,
  getSortKey: (waiting: WaitingUnit<Unit>) => number,
): DayPolicy {
  return {
    name,
    speeds: "none",
    decide: (options) => {
      const input = createPlanInput(options);
      const waiting = input.waiting.map((unit) => ({
        ...unit,
        rank: unit.rank.tier === RANK_TIER.GUARANTEED
          ? unit.rank
          : { tier: RANK_TIER.ORDINARY, density: -getSortKey(unit) },
        evictionGain: 0,
      }));
      return planRound({ ...input, waiting });
    },
  };
}

function planAsPresent(options: PlanInputOptions): RoundPlan<Unit> {
  return planRound(createPlanInput(options));
}

/** Places units in the order of their jobs on the first workers with room; evicts nothing. */
function planFirstFit(options: PlanInputOptions): RoundPlan<Unit> {
  const { waiting, workers } = createPlanInput(options);
  const capacities = workers.map(createWorkerCapacity);
  const placements = waiting.flatMap((request) => {
    const { isGang, isRackBound, dataRack } = request.step;
    const racks = isGang && isRackBound && !request.allowRemote
      ? new Set(workers.map(({ rack }) => rack))
      : [request.allowRemote ? undefined : dataRack];
    for (const rack of racks) {
      const chosen = capacities.filter(({ view }) =>
        rack === undefined || view.rack === rack
      ).flatMap((capacity) =>
        isEligible(capacity.view, request)
          ? Array<WorkerCapacity>(Math.max(0, countFitting(capacity, request)))
            .fill(capacity)
          : []
      ).slice(0, request.count);
      if (chosen.length < request.count) continue;
      subtractFit({ capacities: chosen, isRemote: false }, request);
      const names = chosen.map(({ view }) => view.worker);
      return [{ unit: request.unit, workers: names }];
    }
    return [];
  });
  return { placements, evictions: [] };
}

/** The policies to compare; `present` is the planner as it runs in production. */
export const POLICIES: readonly DayPolicy[] = [
  {
    name: "present",
    hasAdmission: true,
    speeds: "estimated",
    decide: planAsPresent,
  },
  { name: "admit_all", speeds: "estimated", decide: planAsPresent },
  { name: "speed_oracle", speeds: "known", decide: planAsPresent },
  { name: "no_speeds", speeds: "none", decide: planAsPresent },
  {
    name: "no_headroom",
    speeds: "estimated",
    decide: (options) =>
      planRound({
        ...createPlanInput(options),
        urgentHeadroom: new Map(),
      }),
  },
  { name: "first_fit", speeds: "none", decide: planFirstFit },
  createBaseline("first_come", ({ unit }) => unit.job.spec.acceptedUnixMs),
  createBaseline("shortest", ({ step }) => step.estimateMs),
  createBaseline(
    "earliest_objective",
    ({ unit: { job: { spec } }, step }) =>
      spec.acceptedUnixMs + spec.stretch * step.estimateMs + spec.allowanceMs,
  ),
];
