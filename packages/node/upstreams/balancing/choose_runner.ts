/** The ways of choosing a runner, as one union; `docs/decisions/0006-calls.md` weighs them. */
import {
  assertNever,
  nextInteger,
  type Random,
  type ValueOf,
} from "@coltsfootpond/common";
import type { RunnerCandidate } from "../types.ts";
import { chooseByFixedShares, getFixedShareLimit } from "./fixed_shares.ts";
import { chooseByLeastLoad, getLeastLoadLimit } from "./least_load.ts";

export const BALANCING_POLICY = {
  FIXED_SHARES: "fixed_shares",
  TWO_CHOICES: "two_choices",
  LEAST_LOAD: "least_load",
} as const;
export type BalancingPolicy = ValueOf<typeof BALANCING_POLICY>;

/** Attempts that this entry may have in progress on the runner. */
export function getSlotLimit(
  policy: BalancingPolicy,
  candidate: RunnerCandidate,
): number {
  switch (policy) {
    case BALANCING_POLICY.FIXED_SHARES:
      return getFixedShareLimit(candidate);
    case BALANCING_POLICY.TWO_CHOICES:
      return candidate.slots;
    case BALANCING_POLICY.LEAST_LOAD:
      return getLeastLoadLimit(candidate);
    default:
      return assertNever(policy);
  }
}

/** The less used of two runners drawn at random (Mitzenmacher, 1996). */
function chooseByTwoChoices(
  candidates: readonly RunnerCandidate[],
  random: Random,
): RunnerCandidate | undefined {
  const first = candidates[nextInteger(random, candidates.length)];
  const second = candidates[nextInteger(random, candidates.length)];
  if (first === undefined || second === undefined) return first;
  return second.inUse < first.inUse ? second : first;
}

/** Undefined when no candidate has room for this entry. */
export function chooseRunner(
  policy: BalancingPolicy,
  candidates: readonly RunnerCandidate[],
  random: Random,
): RunnerCandidate | undefined {
  const open = candidates.filter(
    (candidate) => candidate.inUse < getSlotLimit(policy, candidate),
  );
  if (open.length === 0) return undefined;
  switch (policy) {
    case BALANCING_POLICY.FIXED_SHARES:
      return chooseByFixedShares(open, random);
    case BALANCING_POLICY.TWO_CHOICES:
      return chooseByTwoChoices(open, random);
    case BALANCING_POLICY.LEAST_LOAD:
      return chooseByLeastLoad(open, random);
    default:
      return assertNever(policy);
  }
}
