/**
 * Converts row values from and to JSON values and sends changes of rows. Only entries write these
 * rows, so their shape is trusted.
 */
import {
  brandId,
  createUniqueId,
  type JsonValue,
  type WriteId,
} from "@coltsfootpond/common";
import type {
  PrioritisedTablePort,
  RowCondition,
  RowWrite,
  TableRow,
  TransactionOutcome,
  WritePriority,
} from "@coltsfootpond/ports";
import { STATE_CALL_TIMEOUT_MS } from "../constants.ts";

/** The conditions and writes of a transaction without a write id. */
export interface RowChange {
  readonly conditions: readonly RowCondition[];
  readonly writes: readonly RowWrite[];
}

/** The value of a row, typed as the caller expects it, without a check. */
export function readValue<Value>(row: TableRow): Value {
  return row.value as unknown as Value;
}

/** The value in the form that the table port takes. */
export function toJsonValue(value: object): JsonValue {
  return value as JsonValue;
}

/** The condition that the row of `key` is unchanged since it was read; undefined: still absent. */
export function createUnchangedCondition(
  key: string,
  row: TableRow | undefined,
): RowCondition {
  return row === undefined
    ? { kind: "absent", key }
    : { kind: "version", key, version: row.version };
}

/** Sends a change under a new write id, with `STATE_CALL_TIMEOUT_MS`. */
export function transactChange(
  table: PrioritisedTablePort,
  change: RowChange,
  rank: WritePriority,
): Promise<TransactionOutcome> {
  const writeId = brandId<WriteId>(createUniqueId());
  return table.transact(
    { writeId, conditions: change.conditions, writes: change.writes },
    { timeoutMs: STATE_CALL_TIMEOUT_MS, rank },
  );
}
