/** The configuration as one entry of the model has confirmed it. */
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
  /** The head before the present one. */
  #earlier: TableRow | undefined;

  private constructor(cluster: ModelCluster, entry: ModelEntry) {
    this.#cluster = cluster;
    this.#entry = entry;
  }

  static create(cluster: ModelCluster, entry: ModelEntry): ModelConfiguration {
    return new ModelConfiguration(cluster, entry);
  }

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

  /** A read with a lower version, or with another digest, means that the head has reverted. */
  applyHead(row: TableRow | undefined): void {
    const head = row && readValue<ConfigurationHeadRow>(row);
    const decision = decideHead(this.#known, head);
    if (row?.version !== this.#row?.version) this.#earlier = this.#row;
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

  /** Applies a delayed answer, which shows the head before the present one. */
  applyStaleHead(): void {
    const known = this.#known;
    const head = this.#earlier &&
      readValue<ConfigurationHeadRow>(this.#earlier);
    const decision = decideHead(known, head);
    if (decision.kind === "advance" && decision.head.version < known.version) {
      this.#report("the version has decreased");
    }
  }

  #report(violation: string): void {
    this.#cluster.violations.push(`${this.#entry.entry}: ${violation}`);
  }
}
