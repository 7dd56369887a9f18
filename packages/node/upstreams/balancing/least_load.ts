/**
 * Least load with ageing reports, after the Smart Clients of WebOS (Vahdat et al., 1998, section
 * 3.2): load comes piggy-backed on replies, its influence decays as the report gets old, and with
 * only stale reports the choice falls back to the entry's own counts and then to chance.
 */
import type { Random } from "@coltsfootpond/common";
import { REPORT_DECAY_MS } from "../constants.ts";
import type { Candidate } from "../types.ts";
import { chooseLowest } from "./lowest.ts";

/** Load by the other entries, as far as the last report still counts. */
function estimateOthers(candidate: Candidate): number {
  const { othersInUse = 0, reportAgeMs } = candidate;
  return othersInUse * Math.exp(-reportAgeMs / REPORT_DECAY_MS);
}

/** Slots that the others are not thought to use; one at least, to learn more. */
export function getLeastLoadLimit(candidate: Candidate): number {
  return Math.max(1, Math.ceil(candidate.slots - estimateOthers(candidate)));
}

export function chooseByLeastLoad(
  candidates: readonly Candidate[],
  random: Random,
): Candidate | undefined {
  return chooseLowest(
    candidates,
    (candidate) =>
      (candidate.inUse + estimateOthers(candidate)) / candidate.slots,
    random,
  );
}
