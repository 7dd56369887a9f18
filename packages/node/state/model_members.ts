/** What one entry of the model knows of the other entries. */
import type { EntryName } from "@coltsfootpond/common";
import {
  ENTRY_EXPIRY_MS,
  ENTRY_RENEWAL_PERIOD_MS,
  MESH_SILENCE_TIMEOUT_MS,
} from "../constants.ts";
import type { ReportedOwnedDomain } from "../mesh/messages.ts";
import { getEntryKey } from "../rows.ts";
import {
  getUnchangedMs,
  observeRowVersion,
  type RowObservation,
} from "./row_observation.ts";
import type { ClusterMember } from "./cluster_wide_outage.ts";
import type { ModelEntry } from "./model_entry.ts";
import type { ModelCluster } from "./model.ts";

/** The part of a heartbeat that matters here. */
export interface ModelHeartbeat {
  readonly tableReachable: boolean;
  readonly holdings: readonly ReportedOwnedDomain[];
  readonly membersVersion: number;
  readonly settled: boolean;
  readonly factsDigest: number;
}

interface Heard extends ModelHeartbeat {
  readonly atMs: number;
}

export class ModelMembers {
  readonly #world: ModelCluster;
  readonly #entry: ModelEntry;
  readonly #beats = new Map<EntryName, RowObservation>();
  readonly #heard = new Map<EntryName, Heard>();
  /** Everyone heard since the rows were last read. */
  readonly #known = new Set<EntryName>();
  #registeredVersion = Number.POSITIVE_INFINITY;
  #entries: readonly EntryName[] = [];
  #isRegistered = false;
  #hasMet = false;
  #beatDueMs = 0;

  private constructor(world: ModelCluster, entry: ModelEntry) {
    this.#world = world;
    this.#entry = entry;
  }

  static create(world: ModelCluster, entry: ModelEntry): ModelMembers {
    return new ModelMembers(world, entry);
  }

  /** Registered entries as last read. */
  get entries(): readonly EntryName[] {
    return this.#entries;
  }

  get hasMet(): boolean {
    return this.#hasMet;
  }

  /** Entries are never removed here, so their number serves as the version. */
  get version(): number {
    return this.#entries.length;
  }

  /** Whether the rows read are as new as those of the peers. */
  isNewest(): boolean {
    return this.#world.entries.every(({ entry }) =>
      (this.getHeard(entry)?.membersVersion ?? 0) <= this.version
    );
  }

  /** Whether every peer heard holds the same of the failure domain. */
  isInStep(factsDigest: number): boolean {
    return this.isNewest() &&
      this.#world.entries.every(({ entry }) =>
        (this.getHeard(entry)?.factsDigest ?? factsDigest) === factsDigest
      );
  }

  hear(from: EntryName, heartbeat: ModelHeartbeat): void {
    this.#known.add(from);
    this.#heard.set(from, { ...heartbeat, atMs: this.#entry.nowMs() });
  }

  getHeard(entry: EntryName): Heard | undefined {
    const heard = this.#heard.get(entry);
    const isRecent = heard !== undefined &&
      this.#entry.nowMs() - heard.atMs < MESH_SILENCE_TIMEOUT_MS;
    return isRecent ? heard : undefined;
  }

  forgetHeard(): void {
    this.#heard.clear();
  }

  /** As the closed-world rule counts them. */
  listWorld(): readonly ClusterMember[] {
    const entries = new Set([...this.#entries, ...this.#known]);
    entries.delete(this.#entry.entry);
    return [...entries].map((entry) => {
      const fact = this.getHeard(entry);
      return {
        entry,
        lastHeartbeat: fact && { ...fact, configurationVersion: 0 },
      };
    });
  }

  learn(nowMs: number): void {
    const { table, entries } = this.#world;
    this.#entries = entries.map(({ entry }) => entry)
      .filter((entry) => table.getRow(getEntryKey(entry)));
    for (const entry of this.#entries) {
      const version = table.getRow(getEntryKey(entry))?.version ?? 0;
      const beat = observeRowVersion(this.#beats.get(entry), version, nowMs);
      this.#beats.set(entry, beat);
    }
    this.#known.clear();
    for (const entry of this.#heard.keys()) {
      if (this.getHeard(entry)) this.#known.add(entry);
    }
    if (!this.#isRegistered) return;
    this.#registeredVersion = Math.min(this.#registeredVersion, this.version);
    this.#hasMet ||= this.#isVouchedFor() ||
      this.#entries.every((entry) => this.#isMet(entry));
  }

  /** Writes the entry's own row; the first time that registers it. */
  beat(nowMs: number): void {
    if (nowMs < this.#beatDueMs) return;
    this.#beatDueMs = nowMs + ENTRY_RENEWAL_PERIOD_MS;
    const key = getEntryKey(this.#entry.entry);
    const outcome = this.#world.transact(this.#entry, key, { nowMs }, []);
    if (outcome.kind === "committed") this.#isRegistered = true;
  }

  #isVouchedFor(): boolean {
    return this.#world.entries.some(({ entry }) => {
      const heard = this.getHeard(entry);
      return heard !== undefined && heard.settled && heard.tableReachable &&
        heard.membersVersion >= this.#registeredVersion;
    });
  }

  #isMet(entry: EntryName): boolean {
    const beat = this.#beats.get(entry);
    const isLapsed = beat !== undefined &&
      getUnchangedMs(beat) >= ENTRY_EXPIRY_MS;
    return entry === this.#entry.entry || isLapsed ||
      this.getHeard(entry) !== undefined;
  }
}
