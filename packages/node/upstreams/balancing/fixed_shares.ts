/**
 * Fixed shares with borrowing. Each entry has its own slots on every runner, so together they cannot
 * overfill it. Beyond its share an entry borrows what the last report shows to be free, less the older
 * the report is, down to nothing; such a request may still be refused, which costs one try.
 */
import type { Random } from "@coltsfootpond/common";
import { REPORT_DECAY_MS } from "../constants.ts";
import type { RunnerCandidate } from "../types.ts";
import { chooseLowest } from "./lowest.ts";

/** Own slots and those that may be borrowed now. */
export function getFixedShareLimit(candidate: RunnerCandidate): number {
  const { share, slots, othersInUse, mayBorrow, reportAgeMs } = candidate;
  if (othersInUse === undefined || !mayBorrow) return share;
  const weight = Math.exp(-reportAgeMs / REPORT_DECAY_MS);
  const borrowable = Math.max(0, slots - othersInUse - share);
  return share + Math.floor(weight * borrowable);
}

/** The emptiest runner, as far as known, own slots before borrowed ones. */
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
