/**
 * Fixed shares with borrowing. Each entry has its own slots on every runner, so that the entries
 * together cannot exceed the runner's slots. Beyond its share an entry borrows slots that the
 * runner's last load report shows as free, fewer as the report ages. The runner may refuse a
 * borrowed slot, which costs one attempt.
 */
import type { Random } from "@coltsfootpond/common";
import { REPORT_DECAY_MS } from "../constants.ts";
import type { RunnerCandidate } from "../types.ts";
import { chooseLowest } from "./lowest.ts";

/** Returns the slots of this entry's share plus those that it may borrow now. */
export function getFixedShareLimit(candidate: RunnerCandidate): number {
  const { share, slots, othersInUse, mayBorrow, reportAgeMs } = candidate;
  if (othersInUse === undefined || !mayBorrow) return share;
  const reportWeight = Math.exp(-reportAgeMs / REPORT_DECAY_MS);
  const borrowable = Math.max(0, slots - othersInUse - share);
  return share + Math.floor(reportWeight * borrowable);
}

/** Prefers runners with a free slot of this entry's share, then the lowest reported load. */
export function chooseByFixedShares(
  candidates: readonly RunnerCandidate[],
  random: Random,
): RunnerCandidate | undefined {
  return chooseLowest(
    candidates,
    ({ inUse, share, slots, othersInUse = 0 }) =>
      (inUse + othersInUse) / slots + (inUse < share ? 0 : 1),
    random,
  );
}
