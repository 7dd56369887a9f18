/** The leases that this entry holds, renewed together in one transaction. */
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

interface HeldRow {
  readonly lease: OwnershipLease;
  readonly tableRow: TableRow;
  /** Whether the holder was allowed to act when that was last noted. */
  readonly wasActing: boolean;
}

/** A lease that ran out, or that lets its holder act again. */
export interface ActingChange extends OwnedDomain {
  readonly mayAct: boolean;
}

export interface LeaseBookOptions {
  readonly identity: EntryIdentity;
  readonly clock: Clock;
  readonly table: PrioritisedTablePort;
  readonly failureDomains: FailureDomainController;
  /** Called when a row turns out to be another's. */
  readonly onLost: (failureDomain: FailureDomainName, epoch: number) => void;
}

export class OwnedLeases {
  readonly #options: LeaseBookOptions;
  readonly #held = new Map<FailureDomainName, HeldRow>();
  #renewing: Promise<void> | undefined;

  private constructor(options: LeaseBookOptions) {
    this.#options = options;
  }

  static create(options: LeaseBookOptions): OwnedLeases {
    return new OwnedLeases(options);
  }

  list(): readonly FailureDomainName[] {
    return [...this.#held.keys()];
  }

  get(failureDomain: FailureDomainName): OwnershipLease | undefined {
    return this.#held.get(failureDomain)?.lease;
  }

  listHoldings(): readonly OwnedDomain[] {
    return [...this.#held].map(([failureDomain, { lease }]) => ({
      failureDomain,
      epoch: lease.epoch,
    }));
  }

  mayAct({ failureDomain, epoch }: OwnedDomain): boolean {
    const lease = this.get(failureDomain);
    return lease !== undefined && lease.epoch === epoch &&
      isLeaseActive(lease, this.#options.clock.nowMs());
  }

  /** What changed since the last call. */
  noteActing(): readonly ActingChange[] {
    const changes: ActingChange[] = [];
    for (const [failureDomain, held] of this.#held) {
      const holding = { failureDomain, epoch: held.lease.epoch };
      const mayAct = this.mayAct(holding);
      if (mayAct === held.wasActing) continue;
      this.#held.set(failureDomain, { ...held, wasActing: mayAct });
      changes.push({ ...holding, mayAct });
    }
    return changes;
  }

  add(
    failureDomain: FailureDomainName,
    lease: OwnershipLease,
    tableRow: TableRow,
  ): void {
    const wasActing = isLeaseActive(lease, this.#options.clock.nowMs());
    this.#held.set(failureDomain, { lease, tableRow, wasActing });
  }

  extend(failureDomain: FailureDomainName): void {
    const held = this.#held.get(failureDomain);
    if (held === undefined) return;
    const lease = extendLease(held.lease, this.#options.clock.nowMs());
    this.#held.set(failureDomain, { ...held, lease });
  }

  /** Takes in an owner row as read; one older than this entry's last write is dropped. */
  applyRow(
    failureDomain: FailureDomainName,
    tableRow: TableRow | undefined,
  ): void {
    const held = this.#held.get(failureDomain);
    if (held === undefined) return;
    if ((tableRow?.version ?? 0) < held.tableRow.version) return;
    const row = tableRow && readValue<OwnerRow>(tableRow);
    const { identity, onLost } = this.#options;
    const isOwn = row?.incarnation === identity.incarnation &&
      row.epoch === held.lease.epoch && !row.released;
    if (isOwn && tableRow !== undefined) {
      return void this.#held.set(failureDomain, { ...held, tableRow });
    }
    this.#held.delete(failureDomain);
    onLost(failureDomain, held.lease.epoch);
  }

  /** Moves every beat on, or joins the renewal under way. */
  renew(): Promise<void> {
    this.#renewing ??= this.#renewAll().finally(() =>
      this.#renewing = undefined
    );
    return this.#renewing;
  }

  /** Gives the lease up at once and then says so in its row; true when the row says it. */
  async release(failureDomain: FailureDomainName): Promise<boolean> {
    await this.#renewing;
    const held = this.#held.get(failureDomain);
    if (held === undefined) return false;
    this.#held.delete(failureDomain);
    const row = readValue<OwnerRow>(held.tableRow);
    const key = getOwnerKey(failureDomain);
    const outcome = await transactChange(this.#options.table, {
      conditions: [createUnchangedCondition(key, held.tableRow)],
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
    if (this.#held.size === 0) return;
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
      if (outcome.kind === "committed") this.#renewed(failureDomain, writtenMs);
      else {
        const row = rows.get(getDomainKey(failureDomain));
        this.#options.failureDomains.applyRow(failureDomain, row);
      }
    }
  }

  #renewed(failureDomain: FailureDomainName, writtenMs: number): void {
    const held = this.#held.get(failureDomain);
    if (held === undefined) return;
    const lease = renewLease(held.lease, writtenMs);
    this.#held.set(failureDomain, { ...held, lease });
  }

  /**
   * Besides the owner rows, the rows of the failure domains must stand as known: a confirmed beat
   * also confirms that the failure domain was not taken out before it.
   */
  #createRenewal(): RowChange {
    const held = [...this.#held];
    return {
      conditions: held.flatMap(([failureDomain, { tableRow }]) => [
        createUnchangedCondition(getOwnerKey(failureDomain), tableRow),
        this.#options.failureDomains.createCondition(failureDomain),
      ]),
      writes: held.map(([failureDomain, { tableRow }]) => {
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
