/** Rows to and from JSON values. The rows are this project's own, so their shape is trusted. */
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

/** A transaction that has no write id yet. */
export interface RowChange {
  readonly conditions: readonly RowCondition[];
  readonly writes: readonly RowWrite[];
}

/** The value of a row that only entries write. */
export function readValue<Value>(row: TableRow): Value {
  return row.value as unknown as Value;
}

/** A row's value in the form that the table port takes. */
export function toJsonValue(value: object): JsonValue {
  return value as JsonValue;
}

/** The condition that `key` still is as it was read. */
export function createUnchangedCondition(
  key: string,
  row: TableRow | undefined,
): RowCondition {
  return row === undefined
    ? { kind: "absent", key }
    : { kind: "version", key, version: row.version };
}

/** Makes a change under a fresh write id, within the bound of a state call. */
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
