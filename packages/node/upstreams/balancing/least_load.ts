/**
 * Least load with ageing reports, after the Smart Clients of WebOS (Vahdat et al., 1998, section
 * 3.2): load comes piggy-backed on replies, its influence decays as the report gets old, and with
 * only stale reports the choice falls back to the entry's own counts and then to chance.
 */
import type { Random } from "@coltsfootpond/common";
import { REPORT_DECAY_MS } from "../constants.ts";
import type { Candidate } from "../types.ts";
import { chooseLowest } from "./lowest.ts";

function estimateLoad(candidate: Candidate): number {
  const { inUse, reportedInUse, reportAgeMs } = candidate;
  if (reportedInUse === undefined) return inUse;
  const weight = Math.exp(-reportAgeMs / REPORT_DECAY_MS);
  return inUse + weight * Math.max(0, reportedInUse - inUse);
}

export function chooseByLeastLoad(
  candidates: readonly Candidate[],
  random: Random,
): Candidate | undefined {
  return chooseLowest(
    candidates,
    (candidate) => estimateLoad(candidate) / candidate.slots,
    random,
  );
}
