/** The failure domain's record on one entry of the model. */
import type { TableRow, TransactionOutcome } from "@coltsfootpond/ports";
import {
  computeRecordsDigest,
  decideDurableRow,
  decideOut,
  type FailureDomainRecord,
  INITIAL_RECORD,
  mergeRecords,
} from "../failure_domains/decisions.ts";
import type { FailureDomainRow } from "../rows.ts";
import type { ModelEntry } from "./model_entry.ts";
import { MODEL_DOMAIN, MODEL_DOMAIN_KEY, type ModelCluster } from "./model.ts";
import { createUnchangedCondition, readValue } from "./rows_json.ts";

export class ModelFailureDomain {
  readonly #cluster: ModelCluster;
  readonly #entry: ModelEntry;
  #record: FailureDomainRecord | undefined;
  #row: TableRow | undefined;

  private constructor(cluster: ModelCluster, entry: ModelEntry) {
    this.#cluster = cluster;
    this.#entry = entry;
  }

  static create(cluster: ModelCluster, entry: ModelEntry): ModelFailureDomain {
    return new ModelFailureDomain(cluster, entry);
  }

  get record(): FailureDomainRecord | undefined {
    return this.#record;
  }

  createCondition() {
    return createUnchangedCondition(MODEL_DOMAIN_KEY, this.#row);
  }

  takeOut(): void {
    this.merge(decideOut(this.#record ?? INITIAL_RECORD));
    const acknowledged = this.announce();
    this.makeDurable();
    const record = this.#record;
    if (record === undefined || record.state === "in") return;
    const isInForce = this.#entry.members.every((member) =>
      member === this.#entry.entry ||
      acknowledged.some(({ entry }) => entry === member)
    );
    const isBinding = isInForce && this.#entry.isMembershipNewest();
    if (!record.provisional || isBinding) {
      this.#cluster.recordOut(record, this.#entry.members);
    }
  }

  takeIn(): void {
    if (!this.#entry.canReachTable()) return;
    this.applyRow(this.#cluster.table.getRow(MODEL_DOMAIN_KEY));
    const known = this.#record ?? INITIAL_RECORD;
    if (known.state === "in") return;
    const row: FailureDomainRow = { state: "in", version: known.version + 1 };
    const outcome = this.#write(row);
    if (outcome.kind !== "conflict") this.#cluster.recordIn(row.version);
    if (outcome.kind === "committed") this.announce();
  }

  /** Sends the record to all linked entries; returns those on which it is now in force. */
  announce(): readonly ModelEntry[] {
    const record = this.#record;
    if (record === undefined) return [];
    return this.#cluster.listLinked(this.#entry).filter((peer) => {
      const present = peer.failureDomain.merge(record);
      if (present.version > record.version) this.merge(present);
      return present.state === record.state &&
        present.version === record.version;
    });
  }

  computeDigest(): number {
    const record = this.#record;
    return computeRecordsDigest(
      record ? [{ name: MODEL_DOMAIN, record }] : [],
    );
  }

  sendIfDifferent(): void {
    const record = this.#record;
    if (record === undefined) return;
    for (const peer of this.#cluster.listLinked(this.#entry)) {
      const { failureDomain } = peer;
      if (failureDomain.computeDigest() !== this.computeDigest()) {
        failureDomain.merge(record);
      }
    }
  }

  merge(incoming: FailureDomainRecord): FailureDomainRecord {
    return this.#record = this.#record === undefined
      ? incoming
      : mergeRecords(this.#record, incoming);
  }

  applyRow(tableRow: TableRow | undefined): void {
    if ((tableRow?.version ?? 0) < (this.#row?.version ?? 0)) return;
    this.#row = tableRow;
    this.merge(
      tableRow
        ? { ...readValue<FailureDomainRow>(tableRow), provisional: false }
        : INITIAL_RECORD,
    );
  }

  makeDurable(): void {
    for (let conflicts = 0; conflicts < MAXIMUM_CONFLICTS; conflicts++) {
      const present = this.#row && readValue<FailureDomainRow>(this.#row);
      const row = decideDurableRow(this.#record ?? INITIAL_RECORD, present);
      if (row === undefined) return;
      if (this.#write(row).kind !== "conflict") return;
    }
  }

  #write(row: FailureDomainRow): TransactionOutcome {
    const conditions = [this.createCondition()];
    const outcome = this.#cluster.transact(
      this.#entry,
      MODEL_DOMAIN_KEY,
      row,
      conditions,
    );
    if (outcome.kind !== "unavailable") this.applyRow(outcome.rows[0]);
    return outcome;
  }
}

const MAXIMUM_CONFLICTS = 3;
