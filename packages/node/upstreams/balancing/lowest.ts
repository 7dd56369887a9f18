/** Returns the candidate with the lowest score; ties are broken at random. */
import { nextInteger, type Random } from "@coltsfootpond/common";
import type { RunnerCandidate } from "../types.ts";

export function chooseLowest(
  candidates: readonly RunnerCandidate[],
  score: (candidate: RunnerCandidate) => number,
  random: Random,
): RunnerCandidate | undefined {
  let best: RunnerCandidate | undefined;
  let bestScore = Infinity;
  let ties = 0;
  for (const candidate of candidates) {
    const value = score(candidate);
    if (value < bestScore) {
      best = candidate;
      bestScore = value;
      ties = 1;
    } else if (value === bestScore) {
      ties++;
      if (nextInteger(random, ties) === 0) best = candidate;
    }
  }
  return best;
}
