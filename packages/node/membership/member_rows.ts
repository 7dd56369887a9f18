/** The transactions on the rows of members. Pure: rows as read go in, a change comes out. */
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

/** The names in the index row; empty when there is none yet. */
export function listIndexed(index: TableRow | undefined): readonly EntryName[] {
  return index === undefined ? [] : readValue<MemberIndexRow>(index).entries;
}

/** Writes the entry's row over whatever an earlier life left, and its name into the index. */
export function createRegistration(
  entry: EntryName,
  row: EntryRow,
  present: readonly TableRow[],
): RowChange {
  const key = getEntryKey(entry);
  const index = present.find((one) => one.key === MEMBER_INDEX_KEY);
  const own = present.find((one) => one.key === key);
  const entries = listIndexed(index);
  const conditions: RowCondition[] = [createUnchangedCondition(key, own)];
  const writes: RowWrite[] = [{ kind: "put", key, value: toJsonValue(row) }];
  if (!entries.includes(entry)) {
    conditions.push(createUnchangedCondition(MEMBER_INDEX_KEY, index));
    writes.push(putIndex([...entries, entry]));
  }
  return { conditions, writes };
}

/** Moves the entry's own row on. */
export function createBeat(
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

/** Takes a member out of the index and deletes its row, unless either has changed since. */
export function createRemoval(
  entry: EntryName,
  present: TableRow | undefined,
  index: TableRow | undefined,
): RowChange {
  const key = getEntryKey(entry);
  const remaining = listIndexed(index).filter((one) => one !== entry);
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
