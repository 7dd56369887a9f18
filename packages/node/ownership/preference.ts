/**
 * Order of preference among entries for one failure domain, by rendezvous hashing (Thaler and
 * Ravishankar, "Using name-based mappings to increase hit rates", 1998): a member that joins or
 * leaves moves only the failure domains that it gains or loses.
 */
import type { EntryName, FailureDomainName } from "@coltsfootpond/common";
import { createHash } from "node:crypto";

/** The candidates, best first. */
export function rankCandidates(
  failureDomain: FailureDomainName,
  candidates: readonly EntryName[],
): readonly EntryName[] {
  return candidates
    .map((entry) => ({ entry, score: computeScore(failureDomain, entry) }))
    .sort((left, right) => left.score < right.score ? 1 : -1)
    .map(({ entry }) => entry);
}

function computeScore(
  failureDomain: FailureDomainName,
  entry: EntryName,
): string {
  return createHash("sha256").update(`${failureDomain}\n${entry}`).digest(
    "hex",
  );
}
