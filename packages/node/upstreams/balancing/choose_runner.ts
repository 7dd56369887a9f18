/** Chooses the runner of an attempt by a policy; `docs/decisions/0006-calls.md` compares them. */
import {
  assertNever,
  nextInteger,
  type Random,
  type ValueOf,
} from "@coltsfootpond/common";
import type { RunnerCandidate } from "../types.ts";
import { chooseByFixedShares, getFixedShareLimit } from "./fixed_shares.ts";
import { chooseByLeastLoad, getLeastLoadLimit } from "./least_load.ts";

/** Entries use `FIXED_SHARES`; the others are for comparison in the benches. */
export const BALANCING_POLICY = {
  FIXED_SHARES: "fixed_shares",
  TWO_CHOICES: "two_choices",
  LEAST_LOAD: "least_load",
} as const;
export type BalancingPolicy = ValueOf<typeof BALANCING_POLICY>;

/** Returns how many attempts this entry may have in progress on the runner. */
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

/** Chooses the less used of two random runners (Mitzenmacher, 1996). */
function chooseByTwoChoices(
  candidates: readonly RunnerCandidate[],
  random: Random,
): RunnerCandidate | undefined {
  const first = candidates[nextInteger(random, candidates.length)];
  const second = candidates[nextInteger(random, candidates.length)];
  if (first === undefined || second === undefined) return first;
  return second.inUse < first.inUse ? second : first;
}

/** Returns undefined when no candidate has a slot for this entry. */
export function chooseRunner(
  policy: BalancingPolicy,
  candidates: readonly RunnerCandidate[],
  random: Random,
): RunnerCandidate | undefined {
  const available = candidates.filter(
    (candidate) => candidate.inUse < getSlotLimit(policy, candidate),
  );
  if (available.length === 0) return undefined;
  switch (policy) {
    case BALANCING_POLICY.FIXED_SHARES:
      return chooseByFixedShares(available, random);
    case BALANCING_POLICY.TWO_CHOICES:
      return chooseByTwoChoices(available, random);
    case BALANCING_POLICY.LEAST_LOAD:
      return chooseByLeastLoad(available, random);
    default:
      return assertNever(policy);
  }
}
