/** What one entry of the model holds to be so of the failure domain. */
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
  readonly #world: ModelCluster;
  readonly #entry: ModelEntry;
  #fact: FailureDomainRecord | undefined;
  #row: TableRow | undefined;

  private constructor(world: ModelCluster, entry: ModelEntry) {
    this.#world = world;
    this.#entry = entry;
  }

  static create(world: ModelCluster, entry: ModelEntry): ModelFailureDomain {
    return new ModelFailureDomain(world, entry);
  }

  get fact(): FailureDomainRecord | undefined {
    return this.#fact;
  }

  createCondition() {
    return createUnchangedCondition(MODEL_DOMAIN_KEY, this.#row);
  }

  takeOut(): void {
    this.merge(decideOut(this.#fact ?? INITIAL_RECORD));
    const acknowledged = this.announce();
    this.makeDurable();
    const fact = this.#fact;
    if (fact === undefined || fact.state === "in") return;
    const isInForce = this.#entry.members.every((member) =>
      member === this.#entry.entry ||
      acknowledged.some(({ entry }) => entry === member)
    );
    const isBinding = isInForce && this.#entry.isMembershipNewest();
    if (!fact.provisional || isBinding) {
      this.#world.noteOut(fact, this.#entry.members);
    }
  }

  takeIn(): void {
    if (!this.#entry.hasAccess()) return;
    this.learnRow(this.#world.table.getRow(MODEL_DOMAIN_KEY));
    const known = this.#fact ?? INITIAL_RECORD;
    if (known.state === "in") return;
    const row: FailureDomainRow = { state: "in", version: known.version + 1 };
    const outcome = this.#write(row);
    if (outcome.kind !== "conflict") this.#world.noteIn(row.version);
    if (outcome.kind === "committed") this.announce();
  }

  /** The entries that now hold the fact to be so. */
  announce(): readonly ModelEntry[] {
    const fact = this.#fact;
    if (fact === undefined) return [];
    return this.#world.listLinked(this.#entry).filter((peer) => {
      const present = peer.failureDomain.merge(fact);
      if (present.version > fact.version) this.merge(present);
      return present.state === fact.state && present.version === fact.version;
    });
  }

  computeDigest(): number {
    const fact = this.#fact;
    return computeRecordsDigest(
      fact ? [{ name: MODEL_DOMAIN, record: fact }] : [],
    );
  }

  tellWhatDiffers(): void {
    const fact = this.#fact;
    if (fact === undefined) return;
    for (const peer of this.#world.listLinked(this.#entry)) {
      const { failureDomain } = peer;
      if (failureDomain.computeDigest() !== this.computeDigest()) {
        failureDomain.merge(fact);
      }
    }
  }

  merge(incoming: FailureDomainRecord): FailureDomainRecord {
    return this.#fact = this.#fact === undefined
      ? incoming
      : mergeRecords(this.#fact, incoming);
  }

  learnRow(tableRow: TableRow | undefined): void {
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
      const row = decideDurableRow(this.#fact ?? INITIAL_RECORD, present);
      if (row === undefined) return;
      if (this.#write(row).kind !== "conflict") return;
    }
  }

  #write(row: FailureDomainRow): TransactionOutcome {
    const conditions = [this.createCondition()];
    const outcome = this.#world.transact(
      this.#entry,
      MODEL_DOMAIN_KEY,
      row,
      conditions,
    );
    if (outcome.kind !== "unavailable") this.learnRow(outcome.rows[0]);
    return outcome;
  }
}

const MAXIMUM_CONFLICTS = 3;
