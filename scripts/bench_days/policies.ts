/**
 * The policies that a day is replayed with: coltsfootpond's planner and admission, the planner
 * without refusals and without headroom for urgent jobs, and baselines with another order of waiting units and without
 * evictions.
 */
import {
  planRound,
  RANK_TIER,
  type RoundPlan,
  type WaitingUnit,
} from "@coltsfootpond/policy";
import {
  createPlanInput,
  type PlanInputOptions,
} from "../../packages/node/cell/plan_input.ts";
import type { Unit } from "../../packages/node/cell/live_job.ts";

/** A named policy that plans one round from the same input as the lease holder's planner. */
export interface DayPolicy {
  readonly name: string;
  /** Whether submitted jobs may be refused, as entries do. */
  readonly hasAdmission?: boolean;
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

/** The policies to compare; `present` is the planner as it runs in production. */
export const POLICIES: readonly DayPolicy[] = [
  {
    name: "present",
    hasAdmission: true,
    decide: (options) => planRound(createPlanInput(options)),
  },
  {
    name: "admit_all",
    decide: (options) => planRound(createPlanInput(options)),
  },
  {
    name: "no_headroom",
    decide: (options) =>
      planRound({
        ...createPlanInput(options),
        urgentHeadroom: new Map(),
      }),
  },
  createBaseline("first_come", ({ unit }) => unit.job.spec.acceptedUnixMs),
  createBaseline("shortest", ({ step }) => step.estimateMs),
  createBaseline(
    "earliest_objective",
    ({ unit: { job: { spec } }, step }) =>
      spec.acceptedUnixMs + spec.stretch * step.estimateMs + spec.allowanceMs,
  ),
];
