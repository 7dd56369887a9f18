/** What the shared read tells of the registered members and of their beats. */
import type { EntryName } from "@coltsfootpond/common";
import type { TableRow } from "@coltsfootpond/ports";
import { ENTRY_EXPIRY_MS, ENTRY_RENEWAL_PERIOD_MS } from "../constants.ts";
import { type EntryRow, getEntryKey, MEMBER_INDEX_KEY } from "../rows.ts";
import {
  getUnchangedMs,
  observeRowVersion,
  type RowObservation,
} from "../state/row_observation.ts";
import type { RowSnapshot } from "../state/row_watcher.ts";
import { readValue } from "../state/rows_json.ts";
import { listIndexed } from "./member_rows.ts";

/** One registered member. */
export interface ObservedMember {
  readonly entry: EntryName;
  readonly row: EntryRow;
  readonly tableRow: TableRow;
  readonly beat: RowObservation;
}

export class MemberObservations {
  readonly #members = new Map<EntryName, ObservedMember>();
  #index: TableRow | undefined;
  #entries: readonly EntryName[] = [];
  #beatsDueMs = 0;

  private constructor() {}

  static create(): MemberObservations {
    return new MemberObservations();
  }

  get index(): TableRow | undefined {
    return this.#index;
  }

  /** Whether the row of every name in the index was read. */
  isComplete(): boolean {
    return this.#index !== undefined &&
      this.#entries.every((entry) => this.#members.has(entry));
  }

  get(entry: EntryName): ObservedMember | undefined {
    return this.#members.get(entry);
  }

  /** In order of name. */
  list(): readonly ObservedMember[] {
    return [...this.#members.values()].sort((left, right) =>
      left.entry < right.entry ? -1 : 1
    );
  }

  isLapsed(entry: EntryName): boolean {
    const member = this.#members.get(entry);
    return member !== undefined &&
      getUnchangedMs(member.beat) >= ENTRY_EXPIRY_MS;
  }

  /** The index always; the members' rows when their beats are due, and new ones at once. */
  listKeys(nowMs: number): readonly string[] {
    const entries = nowMs >= this.#beatsDueMs
      ? this.#entries
      : this.#entries.filter((entry) => !this.#members.has(entry));
    return [MEMBER_INDEX_KEY, ...entries.map(getEntryKey)];
  }

  /** Has every row read again with the next shared read. */
  refreshAll(): void {
    this.#beatsDueMs = 0;
  }

  learn(snapshot: RowSnapshot): void {
    const earlier = this.#entries;
    this.#index = snapshot.get(MEMBER_INDEX_KEY);
    this.#entries = listIndexed(this.#index);
    const allRead = earlier.every((one) => snapshot.has(getEntryKey(one)));
    if (allRead) {
      this.#beatsDueMs = snapshot.answeredMs + ENTRY_RENEWAL_PERIOD_MS / 2;
    }
    for (const entry of this.#entries) this.#learnMember(entry, snapshot);
    for (const entry of [...this.#members.keys()]) {
      if (!this.#entries.includes(entry)) this.#members.delete(entry);
    }
  }

  /** Takes in a row that this entry has just written. */
  replace(entry: EntryName, tableRow: TableRow): void {
    const known = this.#members.get(entry);
    if (known === undefined) return;
    const row = readValue<EntryRow>(tableRow);
    this.#members.set(entry, { ...known, row, tableRow });
  }

  #learnMember(entry: EntryName, snapshot: RowSnapshot): void {
    const key = getEntryKey(entry);
    if (!snapshot.has(key)) return;
    const tableRow = snapshot.get(key);
    if (tableRow === undefined) return void this.#members.delete(entry);
    const previous = this.#members.get(entry)?.beat;
    this.#members.set(entry, {
      entry,
      row: readValue<EntryRow>(tableRow),
      tableRow,
      beat: observeRowVersion(previous, tableRow.version, snapshot.answeredMs),
    });
  }
}
