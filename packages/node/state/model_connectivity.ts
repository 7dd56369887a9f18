/** Which entries of the model have been in contact, and for how long. */
import { MESH_SILENCE_TIMEOUT_MS, OWNERSHIP_LEASE_MS } from "../constants.ts";
import type { ModelEntry } from "./model_entry.ts";
import type { ModelCluster } from "./model.ts";

export class ModelConnectivity {
  readonly #world: ModelCluster;
  readonly #sinceMs = new Map<string, number>();

  private constructor(world: ModelCluster) {
    this.#world = world;
  }

  static create(world: ModelCluster): ModelConnectivity {
    return new ModelConnectivity(world);
  }

  /** Called once a step. */
  note(): void {
    const { entries, nowMs } = this.#world;
    for (const left of entries) {
      for (const right of entries) {
        if (left.entry >= right.entry) continue;
        const name = nameLink(left, right);
        const inContact = left.isRunning && this.#world.isLinked(left, right);
        if (!inContact) this.#sinceMs.delete(name);
        else if (!this.#sinceMs.has(name)) this.#sinceMs.set(name, nowMs);
      }
    }
  }

  /**
   * Whether word of one has come to the other: by the rows that both have read, by contact, or
   * through a third that is in contact with both.
   */
  canKnow(left: ModelEntry, right: ModelEntry): boolean {
    const byRows = left.members.includes(right.entry) &&
      right.members.includes(left.entry);
    if (byRows || this.#lasts(left, right, MESH_SILENCE_TIMEOUT_MS)) {
      return true;
    }
    return this.#world.entries.some((third) => {
      if (third === left || third === right) return false;
      const hasReadOfOne = third.members.includes(left.entry) &&
          this.#lasts(third, right, MESH_SILENCE_TIMEOUT_MS) ||
        third.members.includes(right.entry) &&
          this.#lasts(third, left, MESH_SILENCE_TIMEOUT_MS);
      const isBetween = this.#lasts(third, left, OWNERSHIP_LEASE_MS) &&
        this.#lasts(third, right, OWNERSHIP_LEASE_MS);
      return hasReadOfOne || isBetween;
    });
  }

  #lasts(left: ModelEntry, right: ModelEntry, durationMs: number): boolean {
    const sinceMs = this.#sinceMs.get(nameLink(left, right));
    return sinceMs !== undefined && this.#world.nowMs - sinceMs >= durationMs;
  }
}

/** The name of the link between two entries, the same from both sides. */
export function nameLink(left: ModelEntry, right: ModelEntry): string {
  return left.entry < right.entry
    ? `${left.entry} ${right.entry}`
    : `${right.entry} ${left.entry}`;
}
