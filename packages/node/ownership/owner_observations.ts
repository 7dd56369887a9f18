/** The owner rows as the row watcher last read them, and since when each is unchanged. */
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
  readonly observation: RowObservation;
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

  /** The entry in the owner row; undefined when there is no row or it is released. */
  getOwner(failureDomain: FailureDomainName): EntryName | undefined {
    const row = this.#owners.get(failureDomain)?.row;
    return row === undefined || row.released ? undefined : row.entry;
  }

  applySnapshot(failureDomain: FailureDomainName, snapshot: RowSnapshot): void {
    const key = getOwnerKey(failureDomain);
    if (!snapshot.has(key)) return;
    const tableRow = snapshot.get(key);
    this.#owners.set(failureDomain, {
      tableRow,
      row: tableRow && readValue<OwnerRow>(tableRow),
      observation: observeRowVersion(
        this.#owners.get(failureDomain)?.observation,
        tableRow?.version ?? 0,
        snapshot.answeredMs,
      ),
    });
  }

  /**
   * Restarts every observation after a failed read or a pause of this process. After a failed read
   * this entry reports that it cannot reach the table service, and an owner may extend its lease on
   * that report without a renewal of its row.
   */
  restart(): void {
    for (const [failureDomain, owner] of this.#owners) {
      const observation = {
        ...owner.observation,
        lastReadMs: Number.NEGATIVE_INFINITY,
        sinceMs: Number.NEGATIVE_INFINITY,
      };
      this.#owners.set(failureDomain, { ...owner, observation });
    }
  }
}
