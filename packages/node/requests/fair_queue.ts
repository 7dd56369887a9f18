/**
 * A queue that serves organisations fairly by weight (start-time fair queueing, Goyal et al., 1996)
 * and, within one organisation, the nearest deadline first.
 */
import type { OrganisationName } from "@coltsfootpond/common";

/** Something that waits. */
export interface QueueItem {
  readonly organisation: OrganisationName;
  readonly weight: number;
  readonly deadlineMs: number;
}

interface Lane<Item> {
  /** Nearest deadline last, so that taking it is a pop. */
  readonly items: Item[];
  virtualTime: number;
  weight: number;
}

export class FairQueue<Item extends QueueItem> {
  readonly #lanes = new Map<OrganisationName, Lane<Item>>();
  #virtualTime = 0;
  #size = 0;

  private constructor() {}

  static create<Item extends QueueItem>(): FairQueue<Item> {
    return new FairQueue<Item>();
  }

  get size(): number {
    return this.#size;
  }

  /** Items that are served before a new one of the organisation, as its fair share has it. */
  countAhead(organisation: OrganisationName, weight: number): number {
    const own = this.#lanes.get(organisation)?.items.length ?? 0;
    let ahead = own;
    for (const [name, lane] of this.#lanes) {
      if (name === organisation) continue;
      const fair = (own + 1) * lane.weight / weight;
      ahead += Math.min(lane.items.length, fair);
    }
    return ahead;
  }

  push(item: Item): void {
    const lane = this.#getLane(item);
    const at = lane.items.findIndex((other) =>
      other.deadlineMs <= item.deadlineMs
    );
    lane.items.splice(at === -1 ? lane.items.length : at, 0, item);
    this.#size++;
  }

  pop(): Item | undefined {
    let best: Lane<Item> | undefined;
    for (const lane of this.#lanes.values()) {
      const earlier = best === undefined || lane.virtualTime < best.virtualTime;
      if (lane.items.length > 0 && earlier) best = lane;
    }
    const item = best?.items.pop();
    if (best === undefined || item === undefined) return undefined;
    this.#virtualTime = best.virtualTime;
    best.virtualTime += 1 / best.weight;
    this.#size--;
    this.#dropLane(item.organisation);
    return item;
  }

  /** False when it is not there any more. */
  remove(item: Item): boolean {
    const lane = this.#lanes.get(item.organisation);
    const at = lane?.items.indexOf(item) ?? -1;
    if (lane === undefined || at === -1) return false;
    lane.items.splice(at, 1);
    this.#size--;
    this.#dropLane(item.organisation);
    return true;
  }

  #getLane(item: Item): Lane<Item> {
    let lane = this.#lanes.get(item.organisation);
    if (lane === undefined) {
      const { weight } = item;
      lane = { items: [], virtualTime: this.#virtualTime, weight };
      this.#lanes.set(item.organisation, lane);
    }
    lane.weight = item.weight;
    if (lane.items.length === 0) {
      lane.virtualTime = Math.max(lane.virtualTime, this.#virtualTime);
    }
    return lane;
  }

  /** An empty lane that has no debt left is forgotten. */
  #dropLane(organisation: OrganisationName): void {
    const lane = this.#lanes.get(organisation);
    const settled = lane !== undefined && lane.items.length === 0 &&
      lane.virtualTime <= this.#virtualTime;
    if (settled) this.#lanes.delete(organisation);
  }
}
