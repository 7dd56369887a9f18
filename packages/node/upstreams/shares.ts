/**
 * Divides the slots of a runner among the entries without coordination: each entry computes the
 * same division from the same list of entries, so the shares add up to the slots. The remainder
 * goes to the entries that rank first by rendezvous hashing (Thaler and Ravishankar, 1998).
 */
import { createHash } from "node:crypto";
import type { EntryName, RunnerName } from "@coltsfootpond/common";

export interface ShareOptions {
  readonly runner: RunnerName;
  readonly slots: number;
  readonly self: EntryName;
  /** All entries that use the runner, including `self`. */
  readonly entries: readonly EntryName[];
}

function rank(runner: RunnerName, entry: EntryName): string {
  return createHash("sha256").update(`${runner}\0${entry}`).digest("hex");
}

/** Number of the runner's slots that `self` may use. */
export function computeShare(options: ShareOptions): number {
  const { runner, slots, self, entries } = options;
  const count = Math.max(1, entries.length);
  const ownRank = rank(runner, self);
  const ahead = entries.filter((entry) => rank(runner, entry) < ownRank).length;
  const evenShare = Math.floor(slots / count);
  return evenShare + (ahead < slots % count ? 1 : 0);
}
