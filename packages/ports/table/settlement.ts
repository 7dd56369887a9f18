/**
 * Whether a transaction whose answer was lost took effect. Every row carries the id of the write
 * that made it, so the present rows tell: the id is there, or another write stands where this one
 * would have stood, or (rarely) later writes have covered the trace.
 */
import type { TableRow, TableTransaction } from "../types.ts";

export type Settlement = "made" | "not_made" | "unknown";

/** `rows` are the present rows of the transaction's keys, read after the conditions failed. */
export function settleTransaction(
  transaction: TableTransaction,
  rows: readonly TableRow[],
): Settlement {
  if (rows.some((row) => row.writeId === transaction.writeId)) return "made";
  const written = new Set(transaction.writes.map((write) => write.key));
  let fenced = false;
  for (const condition of transaction.conditions) {
    if (!written.has(condition.key)) continue;
    fenced = true;
    const row = rows.find((one) => one.key === condition.key);
    const before = condition.kind === "version" ? condition.version : 0;
    if (row?.version === before || row?.version === before + 1) {
      return "not_made";
    }
    if (row === undefined && condition.kind === "absent") return "not_made";
  }
  return fenced ? "unknown" : "not_made";
}

/** The keys that settle a transaction. */
export function listSettlementKeys(
  transaction: TableTransaction,
): readonly string[] {
  const keys = [
    ...transaction.conditions.map((condition) => condition.key),
    ...transaction.writes.map((write) => write.key),
  ];
  return [...new Set(keys)];
}
