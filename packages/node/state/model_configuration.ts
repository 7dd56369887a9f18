/** What one entry of the model knows of the configuration. */
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
  readonly #world: ModelCluster;
  readonly #entry: ModelEntry;
  #known: ConfirmedConfiguration = { version: 0, digest: "", confirmedMs: 0 };
  #row: TableRow | undefined;
  /** The head before the present one. */
  #earlier: TableRow | undefined;

  private constructor(world: ModelCluster, entry: ModelEntry) {
    this.#world = world;
    this.#entry = entry;
  }

  static create(world: ModelCluster, entry: ModelEntry): ModelConfiguration {
    return new ModelConfiguration(world, entry);
  }

  apply(): void {
    const version = this.#known.version + 1;
    const head: ConfigurationHeadRow = {
      version,
      digest:
        `${version} by ${this.#entry.entry}` as ConfigurationHeadRow["digest"],
      acceptedBy: this.#entry.entry,
    };
    this.#world.transact(this.#entry, CONFIGURATION_HEAD_KEY, head, [
      createUnchangedCondition(CONFIGURATION_HEAD_KEY, this.#row),
    ]);
  }

  /** A read that shows less than is known, or another content, means that the head reverted. */
  learn(row: TableRow | undefined): void {
    const head = row && readValue<ConfigurationHeadRow>(row);
    const decision = decideHead(this.#known, head);
    if (row?.version !== this.#row?.version) this.#earlier = this.#row;
    this.#row = row;
    if (decision.kind === "reject") this.#report("the head reverts");
    if (decision.kind !== "advance") return;
    const { version, digest } = decision.head;
    if (version < this.#known.version) this.#report("the version falls");
    const confirmedMs = this.#entry.nowMs();
    this.#known = { version, digest, confirmedMs };
  }

  /** An answer that was under way for long shows an earlier head. */
  learnStale(): void {
    const known = this.#known;
    const head = this.#earlier &&
      readValue<ConfigurationHeadRow>(this.#earlier);
    const decision = decideHead(known, head);
    if (decision.kind === "advance" && decision.head.version < known.version) {
      this.#report("the version falls");
    }
  }

  #report(what: string): void {
    this.#world.violations.push(`${this.#entry.entry}: ${what}`);
  }
}
