/** Writes of single rows of the state table that the lease holder rewrites as a whole. */
import type { StateStore } from "@coltsfootpond/ports";
import { STORE_TIMEOUT_MS } from "../constants.ts";
import type { CellLog } from "../log.ts";
import type { TableFollower } from "../table_follower.ts";

export interface PutRowOptions {
  readonly store: StateStore;
  readonly follower: TableFollower;
  readonly log: CellLog;
}

/** `failed`: it may not have been stored. `rejected`: the store can never take this value. */
export type PutOutcome = "stored" | "failed" | "rejected";

/**
 * Replaces the version of the row that this entry knows.
 * Without the condition, a write whose answer was lost could take effect after a later one and undo
 * it.
 */
export async function putRow(
  { store, follower, log }: PutRowOptions,
  key: string,
  value: Uint8Array,
): Promise<PutOutcome> {
  const known = follower.get(key)?.version ?? 0;
  const outcome = await store.transact({
    conditions: [{ key, version: known }],
    puts: [{ key, value }],
    deletes: [],
  }, STORE_TIMEOUT_MS);
  if (outcome.kind === "committed") {
    follower.apply([{ key, version: outcome.version, value }]);
    return "stored";
  }
  log.warn("row.write_failed", { key, known, kind: outcome.kind });
  if (outcome.kind === "conflict") follower.apply(outcome.rows);
  return outcome.kind === "rejected" ? "rejected" : "failed";
}
