/**
 * What one entry of the model knows about the other entries, from the member rows that it read and
 * the heartbeats that it received. Corresponds to `MembershipController`, `PeerHeartbeats` and
 * `ClusterView`.
 */
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

/** The fields of a heartbeat that the model uses. */
export interface ModelHeartbeat {
  readonly tableReachable: boolean;
  readonly holdings: readonly ReportedOwnedDomain[];
  readonly membersVersion: number;
  readonly settled: boolean;
  readonly factsDigest: number;
}

interface ReceivedHeartbeat extends ModelHeartbeat {
  readonly atMs: number;
}

export class ModelMembers {
  readonly #cluster: ModelCluster;
  readonly #entry: ModelEntry;
  readonly #observations = new Map<EntryName, RowObservation>();
  readonly #heartbeats = new Map<EntryName, ReceivedHeartbeat>();
  /** Entries that have sent a heartbeat since, or recently before, the last read of the rows. */
  readonly #seenEntries = new Set<EntryName>();
  /** `version` at the first read after this entry's registration. */
  #registeredVersion = Number.POSITIVE_INFINITY;
  #entries: readonly EntryName[] = [];
  #isRegistered = false;
  #hasContactedEveryMember = false;
  #renewalDueMs = 0;

  private constructor(cluster: ModelCluster, entry: ModelEntry) {
    this.#cluster = cluster;
    this.#entry = entry;
  }

  static create(cluster: ModelCluster, entry: ModelEntry): ModelMembers {
    return new ModelMembers(cluster, entry);
  }

  /** Registered entries as last read. */
  get entries(): readonly EntryName[] {
    return this.#entries;
  }

  /** As `MembershipController.hasContactedEveryMember`. */
  get hasContactedEveryMember(): boolean {
    return this.#hasContactedEveryMember;
  }

  /** Members are never removed in the model, so their number serves as the version. */
  get version(): number {
    return this.#entries.length;
  }

  /** Whether no peer has read newer member rows than this entry. */
  isNewest(): boolean {
    return this.#cluster.entries.every(({ entry }) =>
      (this.getRecentHeartbeat(entry)?.membersVersion ?? 0) <= this.version
    );
  }

  /** Whether `isNewest`, and every connected peer has the same failure domain record. */
  isInSyncWithPeers(factsDigest: number): boolean {
    return this.isNewest() &&
      this.#cluster.entries.every(({ entry }) =>
        (this.getRecentHeartbeat(entry)?.factsDigest ?? factsDigest) ===
          factsDigest
      );
  }

  receive(from: EntryName, heartbeat: ModelHeartbeat): void {
    this.#seenEntries.add(from);
    this.#heartbeats.set(from, { ...heartbeat, atMs: this.#entry.nowMs() });
  }

  getRecentHeartbeat(entry: EntryName): ReceivedHeartbeat | undefined {
    const heartbeat = this.#heartbeats.get(entry);
    const isRecent = heartbeat !== undefined &&
      this.#entry.nowMs() - heartbeat.atMs < MESH_SILENCE_TIMEOUT_MS;
    return isRecent ? heartbeat : undefined;
  }

  clearHeartbeats(): void {
    this.#heartbeats.clear();
  }

  /** The other entries, registered or seen, as input of the rule for a cluster-wide outage. */
  listClusterMembers(): readonly ClusterMember[] {
    const entries = new Set([...this.#entries, ...this.#seenEntries]);
    entries.delete(this.#entry.entry);
    return [...entries].map((entry) => {
      const lastHeartbeat = this.getRecentHeartbeat(entry);
      return {
        entry,
        lastHeartbeat: lastHeartbeat &&
          { ...lastHeartbeat, configurationVersion: 0 },
      };
    });
  }

  applyRows(nowMs: number): void {
    const { table, entries } = this.#cluster;
    this.#entries = entries.map(({ entry }) => entry)
      .filter((entry) => table.getRow(getEntryKey(entry)));
    for (const entry of this.#entries) {
      const version = table.getRow(getEntryKey(entry))?.version ?? 0;
      const observation = observeRowVersion(
        this.#observations.get(entry),
        version,
        nowMs,
      );
      this.#observations.set(entry, observation);
    }
    this.#seenEntries.clear();
    for (const entry of this.#heartbeats.keys()) {
      if (this.getRecentHeartbeat(entry)) this.#seenEntries.add(entry);
    }
    if (!this.#isRegistered) return;
    this.#registeredVersion = Math.min(this.#registeredVersion, this.version);
    this.#hasContactedEveryMember ||= this.#isConfirmedByPeer() ||
      this.#entries.every((entry) => this.#isConnectedOrExpired(entry));
  }

  /** Writes the entry's own row when a renewal is due; the first write registers the entry. */
  renew(nowMs: number): void {
    if (nowMs < this.#renewalDueMs) return;
    this.#renewalDueMs = nowMs + ENTRY_RENEWAL_PERIOD_MS;
    const key = getEntryKey(this.#entry.entry);
    const outcome = this.#cluster.transact(this.#entry, key, { nowMs }, []);
    if (outcome.kind === "committed") this.#isRegistered = true;
  }

  #isConfirmedByPeer(): boolean {
    return this.#cluster.entries.some(({ entry }) => {
      const heartbeat = this.getRecentHeartbeat(entry);
      return heartbeat !== undefined && heartbeat.settled &&
        heartbeat.tableReachable &&
        heartbeat.membersVersion >= this.#registeredVersion;
    });
  }

  #isConnectedOrExpired(entry: EntryName): boolean {
    const observation = this.#observations.get(entry);
    const isExpired = observation !== undefined &&
      getUnchangedMs(observation) >= ENTRY_EXPIRY_MS;
    return entry === this.#entry.entry || isExpired ||
      this.getRecentHeartbeat(entry) !== undefined;
  }
}
