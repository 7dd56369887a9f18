/**
 * A queue that serves organisations fairly by weight (start-time fair queueing, Goyal et al., 1996)
 * and, within one organisation, the nearest deadline first.
 */
import type { OrganisationName } from "@coltsfootpond/common";

/** An item in the queue. `weight` is that of its organisation. */
export interface QueueItem {
  readonly organisation: OrganisationName;
  readonly weight: number;
  readonly deadlineMs: number;
}

interface OrganisationQueue<Item> {
  /** Sorted with the nearest deadline last, where `pop` removes it. */
  readonly items: Item[];
  /** Virtual start time of the next item. */
  virtualTime: number;
  weight: number;
}

/** Used by `ServiceAdmission` for calls that wait. */
export class FairQueue<Item extends QueueItem> {
  readonly #queues = new Map<OrganisationName, OrganisationQueue<Item>>();
  /** Virtual start time of the item that was served last. */
  #virtualTime = 0;
  #size = 0;

  private constructor() {}

  static create<Item extends QueueItem>(): FairQueue<Item> {
    return new FairQueue<Item>();
  }

  get size(): number {
    return this.#size;
  }

  /**
   * Estimates the number of items that are served before a new one of the organisation: all its
   * own, and of each other organisation as many as its weight permits in the meantime.
   */
  countAhead(organisation: OrganisationName, weight: number): number {
    const own = this.#queues.get(organisation)?.items.length ?? 0;
    let ahead = own;
    for (const [name, queue] of this.#queues) {
      if (name === organisation) continue;
      const fairShare = (own + 1) * queue.weight / weight;
      ahead += Math.min(queue.items.length, fairShare);
    }
    return ahead;
  }

  push(item: Item): void {
    const queue = this.#getQueue(item);
    const index = queue.items.findIndex((other) =>
      other.deadlineMs <= item.deadlineMs
    );
    queue.items.splice(index === -1 ? queue.items.length : index, 0, item);
    this.#size++;
  }

  pop(): Item | undefined {
    let best: OrganisationQueue<Item> | undefined;
    for (const queue of this.#queues.values()) {
      const earlier = best === undefined ||
        queue.virtualTime < best.virtualTime;
      if (queue.items.length > 0 && earlier) best = queue;
    }
    const item = best?.items.pop();
    if (best === undefined || item === undefined) return undefined;
    this.#virtualTime = best.virtualTime;
    best.virtualTime += 1 / best.weight;
    this.#size--;
    this.#dropIdleQueue(item.organisation);
    return item;
  }

  /** Returns false when the item is not in the queue. */
  remove(item: Item): boolean {
    const queue = this.#queues.get(item.organisation);
    const index = queue?.items.indexOf(item) ?? -1;
    if (queue === undefined || index === -1) return false;
    queue.items.splice(index, 1);
    this.#size--;
    this.#dropIdleQueue(item.organisation);
    return true;
  }

  #getQueue(item: Item): OrganisationQueue<Item> {
    let queue = this.#queues.get(item.organisation);
    if (queue === undefined) {
      const { weight } = item;
      queue = { items: [], virtualTime: this.#virtualTime, weight };
      this.#queues.set(item.organisation, queue);
    }
    queue.weight = item.weight;
    if (queue.items.length === 0) {
      queue.virtualTime = Math.max(queue.virtualTime, this.#virtualTime);
    }
    return queue;
  }

  /** Drops an empty queue, unless its virtual time is ahead and must delay its next item. */
  #dropIdleQueue(organisation: OrganisationName): void {
    const queue = this.#queues.get(organisation);
    const isIdle = queue !== undefined && queue.items.length === 0 &&
      queue.virtualTime <= this.#virtualTime;
    if (isIdle) this.#queues.delete(organisation);
  }
}
