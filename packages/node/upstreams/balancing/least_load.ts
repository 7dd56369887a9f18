/**
 * Least load with ageing reports, after the Smart Clients of WebOS (Vahdat et al., 1998, section
 * 3.2): load comes piggy-backed on replies, its influence decays as the report gets old, and with
 * only stale reports the choice falls back to the entry's own counts and then to chance.
 */
import type { Random } from "@coltsfootpond/common";
import { REPORT_DECAY_MS } from "../constants.ts";
import type { RunnerCandidate } from "../types.ts";
import { chooseLowest } from "./lowest.ts";

/** Load by the other entries, as far as the last report still counts. */
function estimateOthers(candidate: RunnerCandidate): number {
  const { othersInUse = 0, reportAgeMs } = candidate;
  return othersInUse * Math.exp(-reportAgeMs / REPORT_DECAY_MS);
}

/** Slots that the others are not thought to use; one at least, to learn more. */
export function getLeastLoadLimit(candidate: RunnerCandidate): number {
  return Math.max(1, Math.ceil(candidate.slots - estimateOthers(candidate)));
}

export function chooseByLeastLoad(
  candidates: readonly RunnerCandidate[],
  random: Random,
): RunnerCandidate | undefined {
  return chooseLowest(
    candidates,
    (candidate) =>
      (candidate.inUse + estimateOthers(candidate)) / candidate.slots,
    random,
  );
}
