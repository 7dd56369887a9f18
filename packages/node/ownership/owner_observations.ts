/** The owner rows as the shared read shows them, and their beats. */
import type { EntryName, FailureDomainName } from "@coltsfootpond/common";
import type { TableRow } from "@coltsfootpond/ports";
import { getOwnerKey, type OwnerRow } from "../rows.ts";
import {
  observeRowVersion,
  type RowObservation,
} from "../state/row_observation.ts";
import type { RowSnapshot } from "../state/row_watcher.ts";
import { readValue } from "../state/rows_json.ts";

export interface ObservedOwner {
  readonly tableRow: TableRow | undefined;
  readonly row: OwnerRow | undefined;
  readonly beat: RowObservation;
}

export class OwnerObservations {
  readonly #owners = new Map<FailureDomainName, ObservedOwner>();

  private constructor() {}

  static create(): OwnerObservations {
    return new OwnerObservations();
  }

  get(failureDomain: FailureDomainName): ObservedOwner | undefined {
    return this.#owners.get(failureDomain);
  }

  getOwner(failureDomain: FailureDomainName): EntryName | undefined {
    const row = this.#owners.get(failureDomain)?.row;
    return row === undefined || row.released ? undefined : row.entry;
  }

  learn(failureDomain: FailureDomainName, snapshot: RowSnapshot): void {
    const key = getOwnerKey(failureDomain);
    if (!snapshot.has(key)) return;
    const tableRow = snapshot.get(key);
    this.#owners.set(failureDomain, {
      tableRow,
      row: tableRow && readValue<OwnerRow>(tableRow),
      beat: observeRowVersion(
        this.#owners.get(failureDomain)?.beat,
        tableRow?.version ?? 0,
        snapshot.answeredMs,
      ),
    });
  }

  /** Every term starts again: this entry has told its peers that it does not reach the table. */
  restart(): void {
    for (const [failureDomain, owner] of this.#owners) {
      const beat = {
        ...owner.beat,
        lastReadMs: Number.NEGATIVE_INFINITY,
        sinceMs: Number.NEGATIVE_INFINITY,
      };
      this.#owners.set(failureDomain, { ...owner, beat });
    }
  }
}
