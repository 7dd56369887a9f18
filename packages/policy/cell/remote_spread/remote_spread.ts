/**
 * Decides whether a unit may run away from its data or spread over racks, where it takes several
 * times as long.
 */
import type { ServiceName } from "@coltsfootpond/common";
import { canMeetObjective, type JobRankInput } from "../job_rank.ts";
import type { WorkerView } from "../types.ts";

/** A unit that finds no room near its data, or within one rack. */
export interface RemoteSpreadInput {
  readonly job: JobRankInput;
  /** Since it became due, or since its last run was over. */
  readonly waitedMs: number;
  /** Free share of its service's capacity, of the resource of which least is free. */
  readonly freeShare: number;
}

/** How long guaranteed work waits for a placement within one rack. */
const GUARANTEED_WAIT_MS = 1_200;
/**
 * How long other work waits while most of the capacity is idle. The platform's rules allow 3 s, and
 * a start takes a round and a transaction of the store.
 */
const IDLE_WAIT_MS = 2_000;
const IDLE_SHARE = 0.5;

/** Whether a remote start is better than to wait for a better place. */
export function mayRunRemote(
  { job, waitedMs, freeShare }: RemoteSpreadInput,
): boolean {
  if (!canMeetObjective(job)) return true;
  if (job.isGuaranteed && waitedMs > GUARANTEED_WAIT_MS) return true;
  return freeShare > IDLE_SHARE && waitedMs > IDLE_WAIT_MS;
}

/** Free share of the capacity of each service, of the resource of which least is free. */
export function computeFreeShares(
  workers: readonly Pick<WorkerView, "service" | "capacity" | "free">[],
): ReadonlyMap<ServiceName, number> {
  const services = new Set(workers.map(({ service }) => service));
  return new Map([...services].map((service) => {
    const members = workers.filter((worker) => worker.service === service);
    const shares = (["cpuMilli", "memoryMib", "accelerators"] as const).map(
      (resource) => {
        const whole = sum(members.map(({ capacity }) => capacity[resource]));
        // A worker whose capacity has shrunk may have less than nothing free.
        const free = sum(
          members.map(({ free }) => Math.max(0, free[resource])),
        );
        return whole > 0 ? free / whole : 1;
      },
    );
    return [service, Math.min(...shares)];
  }));
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
