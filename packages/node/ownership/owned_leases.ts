/**
 * The leases of the failure domains that this entry owns, renewed together in one transaction. The
 * ownership controller adds, renews and releases them.
 */
import type { Clock, FailureDomainName } from "@coltsfootpond/common";
import {
  type PrioritisedTablePort,
  type TableRow,
  WRITE_PRIORITY,
} from "@coltsfootpond/ports";
import type { FailureDomainController } from "../failure_domains/failure_domain_controller.ts";
import { getDomainKey, getOwnerKey, type OwnerRow } from "../rows.ts";
import {
  createUnchangedCondition,
  readValue,
  type RowChange,
  toJsonValue,
  transactChange,
} from "../state/rows_json.ts";
import type { EntryIdentity, OwnedDomain } from "../types.ts";
import {
  extendLease,
  isLeaseActive,
  type OwnershipLease,
  renewLease,
} from "./decisions.ts";

interface OwnedLease {
  readonly lease: OwnershipLease;
  readonly tableRow: TableRow;
  /** The value of `mayAct` at the last `collectActingChanges`. */
  readonly wasActing: boolean;
}

/** A lease that has expired, or that permits its owner to act again. */
export interface ActingChange extends OwnedDomain {
  readonly mayAct: boolean;
}

export interface OwnedLeasesOptions {
  readonly identity: EntryIdentity;
  readonly clock: Clock;
  readonly table: PrioritisedTablePort;
  readonly failureDomains: FailureDomainController;
  /** Called when an owner row names another entry, or none. */
  readonly onLost: (failureDomain: FailureDomainName, epoch: number) => void;
}

export class OwnedLeases {
  readonly #options: OwnedLeasesOptions;
  readonly #leases = new Map<FailureDomainName, OwnedLease>();
  #renewing: Promise<void> | undefined;

  private constructor(options: OwnedLeasesOptions) {
    this.#options = options;
  }

  static create(options: OwnedLeasesOptions): OwnedLeases {
    return new OwnedLeases(options);
  }

  list(): readonly FailureDomainName[] {
    return [...this.#leases.keys()];
  }

  get(failureDomain: FailureDomainName): OwnershipLease | undefined {
    return this.#leases.get(failureDomain)?.lease;
  }

  listOwned(): readonly OwnedDomain[] {
    return [...this.#leases].map(([failureDomain, { lease }]) => ({
      failureDomain,
      epoch: lease.epoch,
    }));
  }

  mayAct({ failureDomain, epoch }: OwnedDomain): boolean {
    const lease = this.get(failureDomain);
    return lease !== undefined && lease.epoch === epoch &&
      isLeaseActive(lease, this.#options.clock.nowMs());
  }

  /** The leases whose `mayAct` has changed since the last call. */
  collectActingChanges(): readonly ActingChange[] {
    const changes: ActingChange[] = [];
    for (const [failureDomain, owned] of this.#leases) {
      const ownedDomain = { failureDomain, epoch: owned.lease.epoch };
      const mayAct = this.mayAct(ownedDomain);
      if (mayAct === owned.wasActing) continue;
      this.#leases.set(failureDomain, { ...owned, wasActing: mayAct });
      changes.push({ ...ownedDomain, mayAct });
    }
    return changes;
  }

  add(
    failureDomain: FailureDomainName,
    lease: OwnershipLease,
    tableRow: TableRow,
  ): void {
    const wasActing = isLeaseActive(lease, this.#options.clock.nowMs());
    this.#leases.set(failureDomain, { lease, tableRow, wasActing });
  }

  /** Extends the lease during a cluster-wide outage; see `extendLease`. */
  extend(failureDomain: FailureDomainName): void {
    const owned = this.#leases.get(failureDomain);
    if (owned === undefined) return;
    const lease = extendLease(owned.lease, this.#options.clock.nowMs());
    this.#leases.set(failureDomain, { ...owned, lease });
  }

  /** Applies an owner row as read; a row older than this entry's last write is dropped. */
  applyRow(
    failureDomain: FailureDomainName,
    tableRow: TableRow | undefined,
  ): void {
    const owned = this.#leases.get(failureDomain);
    if (owned === undefined) return;
    if ((tableRow?.version ?? 0) < owned.tableRow.version) return;
    const row = tableRow && readValue<OwnerRow>(tableRow);
    const { identity, onLost } = this.#options;
    const isOwn = row?.incarnation === identity.incarnation &&
      row.epoch === owned.lease.epoch && !row.released;
    if (isOwn && tableRow !== undefined) {
      return void this.#leases.set(failureDomain, { ...owned, tableRow });
    }
    this.#leases.delete(failureDomain);
    onLost(failureDomain, owned.lease.epoch);
  }

  /** Renews every lease, or joins the renewal in progress. */
  renew(): Promise<void> {
    this.#renewing ??= this.#renewAll().finally(() =>
      this.#renewing = undefined
    );
    return this.#renewing;
  }

  /** Drops the lease at once, then marks its row as released; true when that is stored. */
  async release(failureDomain: FailureDomainName): Promise<boolean> {
    await this.#renewing;
    const owned = this.#leases.get(failureDomain);
    if (owned === undefined) return false;
    this.#leases.delete(failureDomain);
    const row = readValue<OwnerRow>(owned.tableRow);
    const key = getOwnerKey(failureDomain);
    const outcome = await transactChange(this.#options.table, {
      conditions: [createUnchangedCondition(key, owned.tableRow)],
      writes: [{
        kind: "put",
        key,
        value: toJsonValue({ ...row, released: true }),
      }],
    }, WRITE_PRIORITY.OWNERSHIP);
    return outcome.kind === "committed";
  }

  async #renewAll(): Promise<void> {
    const writtenMs = this.#options.clock.nowMs();
    if (this.#leases.size === 0) return;
    const outcome = await transactChange(
      this.#options.table,
      this.#createRenewal(),
      WRITE_PRIORITY.OWNERSHIP,
    );
    if (outcome.kind === "unavailable") return;
    const rows = new Map(outcome.rows.map((row) => [row.key, row]));
    for (const failureDomain of this.list()) {
      const tableRow = rows.get(getOwnerKey(failureDomain));
      this.applyRow(failureDomain, tableRow);
      if (outcome.kind === "committed") {
        this.#applyRenewal(failureDomain, writtenMs);
      } else {
        const row = rows.get(getDomainKey(failureDomain));
        this.#options.failureDomains.applyRow(failureDomain, row);
      }
    }
  }

  #applyRenewal(failureDomain: FailureDomainName, writtenMs: number): void {
    const owned = this.#leases.get(failureDomain);
    if (owned === undefined) return;
    const lease = renewLease(owned.lease, writtenMs);
    this.#leases.set(failureDomain, { ...owned, lease });
  }

  /**
   * Besides the owner rows, the rows of the failure domains must be unchanged: a confirmed renewal
   * also confirms that the failure domain was not taken out before it.
   */
  #createRenewal(): RowChange {
    const owned = [...this.#leases];
    return {
      conditions: owned.flatMap(([failureDomain, { tableRow }]) => [
        createUnchangedCondition(getOwnerKey(failureDomain), tableRow),
        this.#options.failureDomains.createCondition(failureDomain),
      ]),
      writes: owned.map(([failureDomain, { tableRow }]) => {
        const row = readValue<OwnerRow>(tableRow);
        return {
          kind: "put",
          key: getOwnerKey(failureDomain),
          value: toJsonValue({ ...row, beat: row.beat + 1 }),
        };
      }),
    };
  }
}
