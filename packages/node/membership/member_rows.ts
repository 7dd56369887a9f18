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
  present: readonly TableRow[],
): RowChange {
  const key = getEntryKey(entry);
  const index = present.find((one) => one.key === MEMBER_INDEX_KEY);
  const own = present.find((one) => one.key === key);
  const entries = listIndexedEntries(index);
  const conditions: RowCondition[] = [createUnchangedCondition(key, own)];
  const writes: RowWrite[] = [{ kind: "put", key, value: toJsonValue(row) }];
  if (!entries.includes(entry)) {
    conditions.push(createUnchangedCondition(MEMBER_INDEX_KEY, index));
    writes.push(putIndex([...entries, entry]));
  }
  return { conditions, writes };
}

/** Renews the entry's own row; `row` has the next renewal counter. */
export function createRenewal(
  entry: EntryName,
  row: EntryRow,
  present: TableRow,
): RowChange {
  const key = getEntryKey(entry);
  return {
    conditions: [createUnchangedCondition(key, present)],
    writes: [{ kind: "put", key, value: toJsonValue(row) }],
  };
}

/** Removes a member from the index and deletes its row, unless either has changed since. */
export function createRemoval(
  entry: EntryName,
  present: TableRow | undefined,
  index: TableRow | undefined,
): RowChange {
  const key = getEntryKey(entry);
  const remaining = listIndexedEntries(index).filter((one) => one !== entry);
  return {
    conditions: [
      createUnchangedCondition(key, present),
      createUnchangedCondition(MEMBER_INDEX_KEY, index),
    ],
    writes: [{ kind: "delete", key }, putIndex(remaining)],
  };
}

function putIndex(entries: readonly EntryName[]): RowWrite {
  const value: MemberIndexRow = { entries: [...entries].sort() };
  return { kind: "put", key: MEMBER_INDEX_KEY, value: toJsonValue(value) };
}
