/** The policies that a day is replayed with: ours, and baselines that differ in order or eviction. */
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

export interface DayPolicy {
  readonly name: string;
  decide(options: PlanInputOptions): RoundPlan<Unit>;
}

/** Our input with another order and no eviction, but for what a guarantee covers. */
function createBaseline(
  name: string,
  order: (waiting: WaitingUnit<Unit>) => number,
): DayPolicy {
  return {
    name,
    decide: (options) => {
      const input = createPlanInput(options);
      const waiting = input.waiting.map((unit) => ({
        ...unit,
        rank: unit.rank.tier === RANK_TIER.GUARANTEED
          ? unit.rank
          : { tier: RANK_TIER.ORDINARY, density: -order(unit) },
        evictionGain: 0,
      }));
      return planRound({ ...input, waiting });
    },
  };
}

export const POLICIES: readonly DayPolicy[] = [
  { name: "present", decide: (options) => planRound(createPlanInput(options)) },
  createBaseline("first_come", ({ unit }) => unit.job.spec.acceptedUnixMs),
  createBaseline("shortest", ({ step }) => step.estimateMs),
  createBaseline(
    "earliest_objective",
    ({ unit: { job: { spec } }, step }) =>
      spec.acceptedUnixMs + spec.stretch * step.estimateMs + spec.allowanceMs,
  ),
];
