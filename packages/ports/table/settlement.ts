/**
 * Determines whether a transaction whose response was lost took effect. Every row contains the id
 * of its last write: the transaction took effect if a row has its id. It did not if a row that it
 * would have changed is unchanged, or if another write made the next change to it. The outcome is
 * unknown if later writes may have replaced all its rows, also those that it writes without a
 * condition.
 */
import type { TableRow, TableTransaction } from "../types.ts";

/** Whether the transaction's writes were made. */
export type Settlement = "made" | "not_made" | "unknown";

/** `rows` are the current rows of the transaction's keys, read after its conditions failed. */
export function settleTransaction(
  transaction: TableTransaction,
  rows: readonly TableRow[],
): Settlement {
  if (rows.some((row) => row.writeId === transaction.writeId)) return "made";
  const written = new Set(transaction.writes.map((write) => write.key));
  for (const condition of transaction.conditions) {
    if (!written.has(condition.key)) continue;
    const row = rows.find((one) => one.key === condition.key);
    const versionBefore = condition.kind === "version" ? condition.version : 0;
    if (row?.version === versionBefore || row?.version === versionBefore + 1) {
      return "not_made";
    }
    if (row === undefined && condition.kind === "absent") return "not_made";
  }
  return transaction.writes.length > 0 ? "unknown" : "not_made";
}

/** The keys whose rows `settleTransaction` needs: those of the conditions and writes. */
export function listSettlementKeys(
  transaction: TableTransaction,
): readonly string[] {
  const keys = [
    ...transaction.conditions.map((condition) => condition.key),
    ...transaction.writes.map((write) => write.key),
  ];
  return [...new Set(keys)];
}
