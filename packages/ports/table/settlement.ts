/**
 * Determines whether a transaction whose response was lost took effect. Every row contains the id
 * of its last write: the transaction took effect if a row has its id. It did not if a row that it
 * would have changed is unchanged, or if another write made the next change to it. In the rare case
 * that later writes have replaced all its rows, the outcome is unknown.
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
  let hasConditionalWrite = false;
  for (const condition of transaction.conditions) {
    if (!written.has(condition.key)) continue;
    hasConditionalWrite = true;
    const row = rows.find((one) => one.key === condition.key);
    const versionBefore = condition.kind === "version" ? condition.version : 0;
    if (row?.version === versionBefore || row?.version === versionBefore + 1) {
      return "not_made";
    }
    if (row === undefined && condition.kind === "absent") return "not_made";
  }
  return hasConditionalWrite ? "unknown" : "not_made";
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
