/**
 * The configuration on one entry of the model in `model.ts`: the head row as the entry last read
 * it, and the version that the entry has in force.
 */
import type { TableRow } from "@coltsfootpond/ports";
import {
  type ConfirmedConfiguration,
  decideHead,
} from "../configuration/decisions.ts";
import { CONFIGURATION_HEAD_KEY, type ConfigurationHeadRow } from "../rows.ts";
import type { ModelEntry } from "./model_entry.ts";
import type { ModelCluster } from "./model.ts";
import { createUnchangedCondition, readValue } from "./rows_json.ts";

export class ModelConfiguration {
  readonly #cluster: ModelCluster;
  readonly #entry: ModelEntry;
  #known: ConfirmedConfiguration = { version: 0, digest: "", confirmedMs: 0 };
  #row: TableRow | undefined;
  /** The row that `#row` replaced. */
  #previousRow: TableRow | undefined;

  private constructor(cluster: ModelCluster, entry: ModelEntry) {
    this.#cluster = cluster;
    this.#entry = entry;
  }

  static create(cluster: ModelCluster, entry: ModelEntry): ModelConfiguration {
    return new ModelConfiguration(cluster, entry);
  }

  /** An operator applies a configuration through this entry: writes the next head. */
  apply(): void {
    const version = this.#known.version + 1;
    const head: ConfigurationHeadRow = {
      version,
      digest:
        `${version} by ${this.#entry.entry}` as ConfigurationHeadRow["digest"],
      acceptedBy: this.#entry.entry,
    };
    this.#cluster.transact(this.#entry, CONFIGURATION_HEAD_KEY, head, [
      createUnchangedCondition(CONFIGURATION_HEAD_KEY, this.#row),
    ]);
  }

  /**
   * Applies a read of the head row; a newer head comes into force. A lower version, or another
   * digest under the same version, means that the stored head has reverted.
   */
  applyHead(row: TableRow | undefined): void {
    const head = row && readValue<ConfigurationHeadRow>(row);
    const decision = decideHead(this.#known, head);
    if (row?.version !== this.#row?.version) this.#previousRow = this.#row;
    this.#row = row;
    if (decision.kind === "reject") this.#report("the head has reverted");
    if (decision.kind !== "advance") return;
    const { version, digest } = decision.head;
    if (version < this.#known.version) {
      this.#report("the version has decreased");
    }
    const confirmedMs = this.#entry.nowMs();
    this.#known = { version, digest, confirmedMs };
  }

  /** Checks that a delayed read of the previous head would not lower the version in force. */
  checkStaleHead(): void {
    const known = this.#known;
    const head = this.#previousRow &&
      readValue<ConfigurationHeadRow>(this.#previousRow);
    const decision = decideHead(known, head);
    if (decision.kind === "advance" && decision.head.version < known.version) {
      this.#report("the version has decreased");
    }
  }

  #report(violation: string): void {
    this.#cluster.violations.push(`${this.#entry.entry}: ${violation}`);
  }
}
