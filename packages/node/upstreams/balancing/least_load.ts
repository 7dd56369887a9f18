/**
 * Least load with ageing reports, after the Smart Clients of WebOS (Vahdat et al., 1998, section
 * 3.2): runners report their load in replies, and a report's weight decays with its age. With only
 * old reports the choice depends on the entry's own counts; ties are broken at random.
 */
import type { Random } from "@coltsfootpond/common";
import { REPORT_DECAY_MS } from "../constants.ts";
import type { RunnerCandidate } from "../types.ts";
import { chooseLowest } from "./lowest.ts";

/** Slots used by the other entries in the last report, weighted by its age. */
function estimateOthersInUse(candidate: RunnerCandidate): number {
  const { othersInUse = 0, reportAgeMs } = candidate;
  return othersInUse * Math.exp(-reportAgeMs / REPORT_DECAY_MS);
}

/**
 * Maximum number of attempts that this entry may have in progress on the runner: the slots that the
 * other entries probably do not use. At least one, because only replies bring new reports.
 */
export function getLeastLoadLimit(candidate: RunnerCandidate): number {
  return Math.max(
    1,
    Math.ceil(candidate.slots - estimateOthersInUse(candidate)),
  );
}

/** Chooses the runner with the lowest estimated load. */
export function chooseByLeastLoad(
  candidates: readonly RunnerCandidate[],
  random: Random,
): RunnerCandidate | undefined {
  return chooseLowest(
    candidates,
    (candidate) =>
      (candidate.inUse + estimateOthersInUse(candidate)) / candidate.slots,
    random,
  );
}
