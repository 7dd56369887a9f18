/** Tracks since when each two entries of the modelled cluster (`model.ts`) have been connected. */
import { MESH_SILENCE_TIMEOUT_MS, OWNERSHIP_LEASE_MS } from "../constants.ts";
import type { ModelEntry } from "./model_entry.ts";
import type { ModelCluster } from "./model.ts";

export class ModelConnectivity {
  readonly #cluster: ModelCluster;
  readonly #connectedSinceMs = new Map<string, number>();

  private constructor(cluster: ModelCluster) {
    this.#cluster = cluster;
  }

  static create(cluster: ModelCluster): ModelConnectivity {
    return new ModelConnectivity(cluster);
  }

  /** Called once per step. */
  update(): void {
    const { entries, nowMs } = this.#cluster;
    for (const left of entries) {
      for (const right of entries) {
        if (left.entry >= right.entry) continue;
        const name = getLinkName(left, right);
        const isConnected = left.isRunning &&
          this.#cluster.isLinked(left, right);
        if (!isConnected) this.#connectedSinceMs.delete(name);
        else if (!this.#connectedSinceMs.has(name)) {
          this.#connectedSinceMs.set(name, nowMs);
        }
      }
    }
  }

  /**
   * Whether the entries can detect each other: both have read the other's member row, they are
   * connected, or a third entry has read the row of one and is connected to the other, or is
   * connected to both. Connections count only when they have lasted long enough.
   */
  canDetect(left: ModelEntry, right: ModelEntry): boolean {
    const byRows = left.members.includes(right.entry) &&
      right.members.includes(left.entry);
    if (byRows || this.#isConnectedFor(left, right, MESH_SILENCE_TIMEOUT_MS)) {
      return true;
    }
    return this.#cluster.entries.some((third) => {
      if (third === left || third === right) return false;
      const hasReadOneRow = third.members.includes(left.entry) &&
          this.#isConnectedFor(third, right, MESH_SILENCE_TIMEOUT_MS) ||
        third.members.includes(right.entry) &&
          this.#isConnectedFor(third, left, MESH_SILENCE_TIMEOUT_MS);
      const isConnectedToBoth =
        this.#isConnectedFor(third, left, OWNERSHIP_LEASE_MS) &&
        this.#isConnectedFor(third, right, OWNERSHIP_LEASE_MS);
      return hasReadOneRow || isConnectedToBoth;
    });
  }

  #isConnectedFor(
    left: ModelEntry,
    right: ModelEntry,
    durationMs: number,
  ): boolean {
    const connectedSinceMs = this.#connectedSinceMs.get(
      getLinkName(left, right),
    );
    return connectedSinceMs !== undefined &&
      this.#cluster.nowMs - connectedSinceMs >= durationMs;
  }
}

/** The name of the link between two entries, the same for both directions. */
export function getLinkName(left: ModelEntry, right: ModelEntry): string {
  return left.entry < right.entry
    ? `${left.entry} ${right.entry}`
    : `${right.entry} ${left.entry}`;
}
