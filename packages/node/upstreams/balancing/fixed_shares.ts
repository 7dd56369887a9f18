/**
 * Fixed shares with borrowing. Each entry has its own slots on every runner, so together they cannot
 * overfill it. Beyond its share an entry borrows only from a runner whose fresh report shows slots
 * to spare; such a request may still be refused, which costs one try and pauses the borrowing.
 */
import type { Random } from "@coltsfootpond/common";
import { BORROW_REPORT_AGE_MS } from "../constants.ts";
import type { Candidate } from "../types.ts";
import { chooseLowest } from "./lowest.ts";

function countBorrowable(candidate: Candidate): number {
  const { othersInUse, reportAgeMs, refusedLately } = candidate;
  const usable = othersInUse !== undefined && !refusedLately &&
    reportAgeMs <= BORROW_REPORT_AGE_MS;
  if (!usable) return 0;
  return Math.max(0, candidate.slots - othersInUse - candidate.inUse);
}

/** Own slots and those that may be borrowed now. */
export function getFixedShareLimit(candidate: Candidate): number {
  const { share, slots, inUse } = candidate;
  if (inUse < share) return share;
  return Math.min(slots, inUse + countBorrowable(candidate));
}

/** Own slots first, the emptiest runner first; then borrowed ones. */
export function chooseByFixedShares(
  candidates: readonly Candidate[],
  random: Random,
): Candidate | undefined {
  const own = candidates.filter((candidate) =>
    candidate.inUse < candidate.share
  );
  if (own.length > 0) {
    return chooseLowest(
      own,
      (candidate) => candidate.inUse / candidate.share,
      random,
    );
  }
  return chooseLowest(
    candidates,
    ({ inUse, othersInUse = 0 }) => inUse + othersInUse,
    random,
  );
}
