/**
 * Headroom: accelerators of a service that other work leaves free for urgent jobs that have not
 * arrived yet. An urgent job that evicts other work waits until the evicted tasks have stopped, and
 * their work since the last checkpoint is lost.
 */
import type { OrganisationName, ServiceName } from "@coltsfootpond/common";
import { addUsage, multiplyResources } from "./quotas/organisation_usage.ts";
import type { UrgentRates } from "./quotas/urgent_reserve.ts";
import type {
  CellJobSpec,
  CellResources,
  QueueName,
  WorkerView,
} from "./types.ts";

/**
 * Urgent jobs accepted within this time count towards the rate: several jobs also in a small
 * deployment, and a change of the load shows within seconds.
 */
const RATE_WINDOW_MS = 5_000;
/**
 * Largest share of a service. Below a quarter, work that fits twice into the free capacity of a
 * service of which half is free starts at once.
 */
const MAXIMUM_HEADROOM_SHARE = 0.2;
/**
 * The headroom covers the jobs of this many times the time that a task takes to stop: those that
 * arrive until evicted tasks have stopped, and those that arrive until others are evicted again.
 */
const STOP_TIME_FACTOR = 2;
const MS_PER_SECOND = 1_000;

interface UrgentArrival {
  readonly queue: QueueName;
  readonly service: ServiceName;
  readonly acceptedUnixMs: number;
  readonly organisation: OrganisationName | undefined;
  /** Of the step that needs most accelerators. */
  readonly requirement: CellResources;
}

/** Measures how many accelerators urgent jobs ask for in a second. */
export class UrgentDemand {
  #arrivals: UrgentArrival[] = [];
  readonly #isCounted: (queue: QueueName) => boolean;

  private constructor(isCounted: (queue: QueueName) => boolean) {
    this.#isCounted = isCounted;
  }

  /** `isCounted`: whether urgent jobs of the queue can start now; by default those of all can. */
  static create(
    isCounted: (queue: QueueName) => boolean = () => true,
  ): UrgentDemand {
    return new UrgentDemand(isCounted);
  }

  /** Takes note of an urgent job. Jobs may be recorded in any order, and long after acceptance. */
  record(
    { queue, service, acceptedUnixMs, organisation, steps }: CellJobSpec,
  ): void {
    const [requirement] = steps.map(({ count, need }) =>
      multiplyResources(need, count)
    ).sort((left, right) => right.accelerators - left.accelerators);
    if (requirement === undefined) return;
    this.#arrivals.push({
      queue,
      service,
      acceptedUnixMs,
      organisation,
      requirement,
    });
  }

  /** Mean over the last RATE_WINDOW_MS, in accelerators a second. */
  computeRatesPerS(nowUnixMs: number): ReadonlyMap<ServiceName, number> {
    const rates = new Map<ServiceName, number>();
    for (
      const { service, requirement: { accelerators } } of this.#listCounted(
        nowUnixMs,
      )
    ) {
      const rate = accelerators * MS_PER_SECOND / RATE_WINDOW_MS;
      rates.set(service, (rates.get(service) ?? 0) + rate);
    }
    return rates;
  }

  /** The same for each organisation, in all resources. */
  computeOrganisationRatesPerS(nowUnixMs: number): UrgentRates {
    const rates = new Map<OrganisationName, CellResources>();
    for (const { organisation, requirement } of this.#listCounted(nowUnixMs)) {
      if (organisation === undefined) continue;
      const rate = multiplyResources(
        requirement,
        MS_PER_SECOND / RATE_WINDOW_MS,
      );
      addUsage(rates, organisation, rate);
    }
    return rates;
  }

  #listCounted(nowUnixMs: number): readonly UrgentArrival[] {
    this.#arrivals = this.#arrivals.filter(({ acceptedUnixMs }) =>
      Math.abs(nowUnixMs - acceptedUnixMs) < RATE_WINDOW_MS
    );
    return this.#arrivals.filter(({ queue }) => this.#isCounted(queue));
  }
}

export interface UrgentHeadroomInput {
  /** Accelerators that urgent jobs of each service ask for in a second. */
  readonly ratesPerS: ReadonlyMap<ServiceName, number>;
  /** Longest time that a task takes to stop. */
  readonly stopLimitMs: number;
  /** The usable workers. */
  readonly workers: readonly WorkerView[];
}

/** The headroom of each service for which urgent jobs have arrived, in accelerators. */
export function computeUrgentHeadroom(
  { ratesPerS, stopLimitMs, workers }: UrgentHeadroomInput,
): ReadonlyMap<ServiceName, number> {
  const horizonS = STOP_TIME_FACTOR * stopLimitMs / MS_PER_SECOND;
  const headroom = new Map<ServiceName, number>();
  for (const [service, ratePerS] of ratesPerS) {
    const accelerators = workers.reduce(
      (sum, { service: other, capacity }) =>
        sum + (other === service ? capacity.accelerators : 0),
      0,
    );
    const largest = MAXIMUM_HEADROOM_SHARE * accelerators;
    headroom.set(service, Math.min(ratePerS * horizonS, largest));
  }
  return headroom;
}
