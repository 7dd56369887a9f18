/** Ids of live jobs by the queue that they were submitted to, for the count of waiting jobs. */
import type { CellJobId, JobOrigin, QueueName } from "@coltsfootpond/policy";
import type { QueueAddress } from "./access/job_access.ts";
import { computeAddressTag } from "../job_origins/origin_tags.ts";

type QueueOfJob = Pick<JobOrigin, "queue" | "addressTag">;

export class LiveJobsByQueue {
  readonly #byName = new Map<QueueName, Set<CellJobId>>();
  readonly #byAddress = new Map<string, Set<CellJobId>>();
  readonly #queues = new Map<CellJobId, QueueOfJob>();

  private constructor() {}

  static create(): LiveJobsByQueue {
    return new LiveJobsByQueue();
  }

  add(jobId: CellJobId, { queue, addressTag }: QueueOfJob): void {
    this.delete(jobId);
    this.#queues.set(jobId, { queue, addressTag });
    addTo(this.#byName, queue, jobId);
    if (addressTag !== undefined) addTo(this.#byAddress, addressTag, jobId);
  }

  delete(jobId: CellJobId): void {
    const known = this.#queues.get(jobId);
    if (known === undefined) return;
    this.#queues.delete(jobId);
    deleteFrom(this.#byName, known.queue, jobId);
    if (known.addressTag !== undefined) {
      deleteFrom(this.#byAddress, known.addressTag, jobId);
    }
  }

  /** Jobs of the queue, also those that were submitted when it had another name or address. */
  list(queue: QueueAddress): readonly CellJobId[] {
    const named = this.#byName.get(queue.queue) ?? [];
    const addressed = this.#byAddress.get(computeAddressTag(queue)) ?? [];
    return [...new Set([...named, ...addressed])];
  }
}

function addTo<Key>(
  sets: Map<Key, Set<CellJobId>>,
  key: Key,
  jobId: CellJobId,
): void {
  const set = sets.get(key) ?? new Set();
  sets.set(key, set.add(jobId));
}

function deleteFrom<Key>(
  sets: Map<Key, Set<CellJobId>>,
  key: Key,
  jobId: CellJobId,
): void {
  const set = sets.get(key);
  set?.delete(jobId);
  if (set?.size === 0) sets.delete(key);
}
