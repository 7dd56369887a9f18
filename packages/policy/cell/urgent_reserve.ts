/**
 * Capacity that the cell keeps free for urgent jobs that are still to come. Evicting other work for
 * an urgent job costs it the time that the evicted tasks take to stop, and loses their work; while
 * urgent jobs arrive steadily, other work therefore leaves room for those that arrive within that
 * time.
 */
import type { ServiceName } from "@coltsfootpond/common";
import type { CellJobSpec, WorkerView } from "./types.ts";

/** Urgent jobs accepted within this time count towards the rate; about as long as a burst. */
const RATE_WINDOW_MS = 5_000;
/**
 * Largest share of the cell that is kept free. Work that fits twice into the free half of a cell
 * can always start beside it.
 */
const MAXIMUM_RESERVE_SHARE = 0.2;
/**
 * The room must last this many times as long as a task takes to stop: until the evicted tasks have
 * stopped, and again for the jobs that arrive before the room that they left is in use.
 */
const STOP_TIME_FACTOR = 2;
const MS_PER_SECOND = 1_000;

interface UrgentArrival {
  readonly service: ServiceName;
  readonly acceptedUnixMs: number;
  readonly accelerators: number;
}

/** Measures how many accelerators urgent jobs ask for in a second. */
export class UrgentDemand {
  #arrivals: UrgentArrival[] = [];

  private constructor() {}

  static create(): UrgentDemand {
    return new UrgentDemand();
  }

  /** Takes note of an urgent job. Jobs may be recorded in any order, and long after acceptance. */
  record({ service, acceptedUnixMs, steps }: CellJobSpec): void {
    const accelerators = Math.max(
      0,
      ...steps.map(({ count, need }) => count * need.accelerators),
    );
    this.#arrivals.push({ service, acceptedUnixMs, accelerators });
  }

  /** Mean over the last RATE_WINDOW_MS, in accelerators a second. */
  computeRatesPerS(nowUnixMs: number): ReadonlyMap<ServiceName, number> {
    this.#arrivals = this.#arrivals.filter(({ acceptedUnixMs }) =>
      Math.abs(nowUnixMs - acceptedUnixMs) < RATE_WINDOW_MS
    );
    const rates = new Map<ServiceName, number>();
    for (const { service, accelerators } of this.#arrivals) {
      const rate = accelerators * MS_PER_SECOND / RATE_WINDOW_MS;
      rates.set(service, (rates.get(service) ?? 0) + rate);
    }
    return rates;
  }
}

export interface UrgentReserveInput {
  /** Accelerators that urgent jobs of each service ask for in a second. */
  readonly ratesPerS: ReadonlyMap<ServiceName, number>;
  /** Longest time that a task takes to stop. */
  readonly stopLimitMs: number;
  /** The usable workers. */
  readonly workers: readonly WorkerView[];
}

/** Number of accelerators of each service that work which is not urgent leaves free. */
export function computeUrgentReserves(
  { ratesPerS, stopLimitMs, workers }: UrgentReserveInput,
): ReadonlyMap<ServiceName, number> {
  const horizonS = STOP_TIME_FACTOR * stopLimitMs / MS_PER_SECOND;
  const reserves = new Map<ServiceName, number>();
  for (const [service, ratePerS] of ratesPerS) {
    const accelerators = workers.reduce(
      (sum, { service: other, capacity }) =>
        sum + (other === service ? capacity.accelerators : 0),
      0,
    );
    const largest = MAXIMUM_RESERVE_SHARE * accelerators;
    reserves.set(service, Math.min(ratePerS * horizonS, largest));
  }
  return reserves;
}
