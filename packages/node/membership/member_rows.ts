/**
 * Builds the transactions on the member rows and the member index for the membership controller.
 * Pure: takes rows as read, returns the change.
 */
import type { EntryName } from "@coltsfootpond/common";
import type { RowCondition, RowWrite, TableRow } from "@coltsfootpond/ports";
import {
  type EntryRow,
  getEntryKey,
  MEMBER_INDEX_KEY,
  type MemberIndexRow,
} from "../rows.ts";
import {
  createUnchangedCondition,
  readValue,
  type RowChange,
  toJsonValue,
} from "../state/rows_json.ts";

/** Names of the registered entries; empty when there is no index row yet. */
export function listIndexedEntries(
  index: TableRow | undefined,
): readonly EntryName[] {
  return index === undefined ? [] : readValue<MemberIndexRow>(index).entries;
}

/** Replaces the row of any earlier incarnation, and adds the entry's name to the index. */
export function createRegistration(
  entry: EntryName,
  row: EntryRow,
  storedRows: readonly TableRow[],
): RowChange {
  const key = getEntryKey(entry);
  const index = storedRows.find((stored) => stored.key === MEMBER_INDEX_KEY);
  const storedRow = storedRows.find((stored) => stored.key === key);
  const entries = listIndexedEntries(index);
  const conditions: RowCondition[] = [createUnchangedCondition(key, storedRow)];
  const writes: RowWrite[] = [{ kind: "put", key, value: toJsonValue(row) }];
  if (!entries.includes(entry)) {
    conditions.push(createUnchangedCondition(MEMBER_INDEX_KEY, index));
    writes.push(createIndexWrite([...entries, entry]));
  }
  return { conditions, writes };
}

/** Replaces the entry's row by `row`, which already has the next renewal counter. */
export function createRenewal(
  entry: EntryName,
  row: EntryRow,
  storedRow: TableRow,
): RowChange {
  const key = getEntryKey(entry);
  return {
    conditions: [createUnchangedCondition(key, storedRow)],
    writes: [{ kind: "put", key, value: toJsonValue(row) }],
  };
}

/** Removes a member from the index and deletes its row, unless either changed since it was read. */
export function createRemoval(
  entry: EntryName,
  storedRow: TableRow | undefined,
  index: TableRow | undefined,
): RowChange {
  const key = getEntryKey(entry);
  const remaining = listIndexedEntries(index).filter((name) => name !== entry);
  return {
    conditions: [
      createUnchangedCondition(key, storedRow),
      createUnchangedCondition(MEMBER_INDEX_KEY, index),
    ],
    writes: [{ kind: "delete", key }, createIndexWrite(remaining)],
  };
}

function createIndexWrite(entries: readonly EntryName[]): RowWrite {
  const value: MemberIndexRow = { entries: [...entries].sort() };
  return { kind: "put", key: MEMBER_INDEX_KEY, value: toJsonValue(value) };
}
