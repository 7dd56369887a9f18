/**
 * The registered members as the row watcher last read them, and how long each row has been
 * unchanged. Used by the membership controller.
 */
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
import { listIndexedEntries } from "./member_rows.ts";

/** One registered member; `observation` tracks the renewals of its row. */
export interface ObservedMember {
  readonly entry: EntryName;
  readonly row: EntryRow;
  readonly tableRow: TableRow;
  readonly observation: RowObservation;
}

export class MemberObservations {
  readonly #members = new Map<EntryName, ObservedMember>();
  #index: TableRow | undefined;
  #entries: readonly EntryName[] = [];
  #nextFullReadMs = 0;

  private constructor() {}

  static create(): MemberObservations {
    return new MemberObservations();
  }

  /** The row that lists the members; undefined until it has been read, or if it is absent. */
  get index(): TableRow | undefined {
    return this.#index;
  }

  /** Whether the row of every member in the index has been read. */
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

  /** Whether the member's row has been unchanged for ENTRY_EXPIRY_MS. */
  isExpired(entry: EntryName): boolean {
    const member = this.#members.get(entry);
    return member !== undefined &&
      getUnchangedMs(member.observation) >= ENTRY_EXPIRY_MS;
  }

  /** The index always; all members' rows twice per renewal period, new members' at once. */
  listKeys(nowMs: number): readonly string[] {
    const entries = nowMs >= this.#nextFullReadMs
      ? this.#entries
      : this.#entries.filter((entry) => !this.#members.has(entry));
    return [MEMBER_INDEX_KEY, ...entries.map(getEntryKey)];
  }

  /** Makes the row watcher's next read include every member's row. */
  refreshAll(): void {
    this.#nextFullReadMs = 0;
  }

  applySnapshot(snapshot: RowSnapshot): void {
    const previousEntries = this.#entries;
    this.#index = snapshot.get(MEMBER_INDEX_KEY);
    this.#entries = listIndexedEntries(this.#index);
    const allRead = previousEntries.every((entry) =>
      snapshot.has(getEntryKey(entry))
    );
    if (allRead) {
      this.#nextFullReadMs = snapshot.answeredMs + ENTRY_RENEWAL_PERIOD_MS / 2;
    }
    for (const entry of this.#entries) this.#applyMemberRow(entry, snapshot);
    for (const entry of [...this.#members.keys()]) {
      if (!this.#entries.includes(entry)) this.#members.delete(entry);
    }
  }

  /** Stores the row of a member that the membership controller has just written. */
  replace(entry: EntryName, tableRow: TableRow): void {
    const known = this.#members.get(entry);
    if (known === undefined) return;
    const row = readValue<EntryRow>(tableRow);
    this.#members.set(entry, { ...known, row, tableRow });
  }

  #applyMemberRow(entry: EntryName, snapshot: RowSnapshot): void {
    const key = getEntryKey(entry);
    if (!snapshot.has(key)) return;
    const tableRow = snapshot.get(key);
    if (tableRow === undefined) return void this.#members.delete(entry);
    const previous = this.#members.get(entry)?.observation;
    this.#members.set(entry, {
      entry,
      row: readValue<EntryRow>(tableRow),
      tableRow,
      observation: observeRowVersion(
        previous,
        tableRow.version,
        snapshot.answeredMs,
      ),
    });
  }
}
