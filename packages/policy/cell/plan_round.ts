/**
 * Plans one round of the cell scheduler: which waiting units start on which workers, and which
 * running units are evicted for others. A pure function; the caller executes the plan.
 *
 * The order of rank and the justification of evictions weigh different things, so a unit may be
 * placed before another for which the next round would evict it. The other one displaces it
 * instead: on the same terms as an eviction, the placement is taken back before it is executed.
 */
import type {
  OrganisationName,
  ServiceName,
  WorkerName,
} from "@coltsfootpond/common";
import { allowsStart, ISOLATION, type Isolation } from "./crashes/isolation.ts";
import type { EvictionPlan, RunningUnit } from "./eviction.ts";
import {
  createWorkerCapacity,
  findFit,
  type Fit,
  type FitRequest,
  restoreFit,
  subtractFit,
  type WorkerCapacity,
} from "./fit.ts";
import type { EvictionLimit } from "./start_circuits/start_circuit.ts";
import type { CellResources, WorkerView } from "./types.ts";
import { type Rank, RANK_TIER } from "./job_rank.ts";
import type { OrganisationShares } from "./quotas/organisation_usage.ts";
import { QuotaLedger, type QuotaWait } from "./quotas/quota_ledger.ts";
import { planQuotaReclaim, type QuotaReclaim } from "./quotas/quota_reclaim.ts";
import { planEvictionByShares, planReclaim } from "./quotas/share_evictions.ts";
import { ShareQueue } from "./quotas/share_queue.ts";
import { WeightedShares } from "./quotas/weighted_shares.ts";

/** A unit that is due and waits for workers. */
export interface WaitingUnit<Unit> extends FitRequest {
  readonly unit: Unit;
  /** Undefined on public queues. */
  readonly organisation: OrganisationName | undefined;
  readonly rank: Rank;
  /** May start in another rack than its data, or spread over racks, where it runs slower. */
  readonly allowRemote: boolean;
  /**
   * Job value gained by a start now instead of later; units that cost less may be evicted for it.
   */
  readonly evictionGain: number;
  /** Job value lost if another unit takes its workers in this round; undefined if none may. */
  readonly displacementCost: number | undefined;
  /** Whether it may use the headroom for urgent jobs. */
  readonly mayUseHeadroom: boolean;
  /** Since it became due, or since its last run was over; default 0. */
  readonly waitedMs?: number;
  /** Default none. */
  readonly isolation?: Isolation;
  /** Where other units may be evicted for it, or displaced; undefined for everywhere. */
  readonly evictionLimit?: EvictionLimit | undefined;
}

/** Workers and units at the time of the round; `Unit` is the caller's own type. */
export interface PlanInput<Unit> {
  readonly workers: readonly WorkerView[];
  readonly waiting: readonly WaitingUnit<Unit>[];
  readonly running: readonly RunningUnit<Unit>[];
  /** Accelerators of each service that units without `mayUseHeadroom` leave free; default none. */
  readonly urgentHeadroom?: ReadonlyMap<ServiceName, number>;
  /** Undefined where no organisation has a quota or a weight. */
  readonly shares?: OrganisationShares;
}

/** A unit to start, with one worker per task. */
export interface Placement<Unit> {
  readonly unit: Unit;
  readonly workers: readonly WorkerName[];
}

/** A running unit to evict for a waiting unit, and the workers that the waiting unit waits for. */
export interface Eviction<Unit> {
  readonly unit: Unit;
  readonly forUnit: Unit;
  readonly workers: readonly WorkerName[];
}

/** Units to start and units to evict. */
export interface RoundPlan<Unit> {
  readonly placements: readonly Placement<Unit>[];
  readonly evictions: readonly Eviction<Unit>[];
  /** Units that quotas hold back; absent if there are none. */
  readonly quotaWaits?: readonly QuotaWait<Unit>[];
}

/** Most units for which one round searches for victims; limits the duration of a round. */
const MAXIMUM_EVICTION_PLANS = 8;
/** The same for units of organisations below their share, so that urgent units keep theirs. */
const MAXIMUM_RECLAIM_PLANS = 4;
const NO_WORKERS: ReadonlySet<WorkerName> = new Set();

/**
 * Plans one round, in order of rank; units of equal rank keep their order. After one unit of a step
 * has not fitted, the other units of that step are skipped.
 */
export function planRound<Unit>(input: PlanInput<Unit>): RoundPlan<Unit> {
  return Round.create(input).plan();
}

/** A placement of this round, which a unit that is planned later may displace. */
interface TentativePlacement<Unit> {
  readonly request: WaitingUnit<Unit>;
  readonly fit: Fit;
}

/** State of one round while it is planned. */
class Round<Unit> {
  readonly #input: PlanInput<Unit>;
  /** Workers on which units may still be placed. */
  #capacities: readonly WorkerCapacity[];
  /** By the unit as it would run. */
  readonly #placements = new Map<RunningUnit<Unit>, TentativePlacement<Unit>>();
  readonly #evictions: Eviction<Unit>[] = [];
  readonly #evicted = new Set<RunningUnit<Unit>>();
  readonly #stepsWithoutFit = new Set<string>();
  readonly #quotas: QuotaLedger;
  readonly #quotaWaits: QuotaWait<Unit>[] = [];
  readonly #shares: WeightedShares | undefined;
  /** Workers on which units start in this round. */
  readonly #startedOn = new Set<WorkerName>();
  /** Free accelerators of each service beyond its headroom. */
  readonly #spare: Map<ServiceName, number>;
  /** Accelerators of each service beyond its headroom. */
  readonly #largest: ReadonlyMap<ServiceName, number>;
  #evictionPlans = 0;
  #reclaimPlans = 0;

  private constructor(input: PlanInput<Unit>) {
    this.#input = input;
    this.#quotas = QuotaLedger.create(input.shares);
    this.#shares = WeightedShares.create(input);
    this.#capacities = input.workers.map(createWorkerCapacity);
    this.#spare = sumBeyondHeadroom(input, ({ free }) => free);
    this.#largest = sumBeyondHeadroom(input, ({ capacity }) => capacity);
  }

  static create<Unit>(input: PlanInput<Unit>): Round<Unit> {
    return new Round(input);
  }

  plan(): RoundPlan<Unit> {
    const queue = ShareQueue.create(this.#input.waiting, this.#shares);
    for (
      let request = queue.next();
      request !== undefined;
      request = queue.next()
    ) queue.putBack(this.#planUnit(request));
    return {
      placements: [...this.#placements.keys()].map(({ unit, workers }) => ({
        unit,
        workers,
      })),
      evictions: this.#evictions,
      ...(this.#quotaWaits.length > 0 ? { quotaWaits: this.#quotaWaits } : {}),
    };
  }

  /** Returns the units that the request displaces; they may fit elsewhere. */
  #planUnit(request: WaitingUnit<Unit>): readonly WaitingUnit<Unit>[] {
    if (this.#stepsWithoutFit.has(request.stepKey)) return [];
    const wait = this.#quotas.findWait(request);
    if (wait === undefined) return this.#planWithinQuota(request);
    const reclaim = this.#planQuotaReclaim(request);
    const { displaced, victims } = this.#displace(reclaim);
    if (displaced.length > 0 && this.#quotas.findWait(request) === undefined) {
      return [...displaced, ...this.#planWithinQuota(request)];
    }
    this.#quotaWaits.push(wait);
    if (reclaim !== undefined) this.#evict(request, victims, NO_WORKERS);
    return displaced;
  }

  /** Plans a unit that its organisation's quota does not hold back. */
  #planWithinQuota(request: WaitingUnit<Unit>): readonly WaitingUnit<Unit>[] {
    const mayStart = this.#isWithinHeadroom(request);
    if (mayStart && this.#place(request)) return [];
    const eviction = mayStart
      ? this.#planEviction(request) ?? this.#planReclaim(request)
      : undefined;
    const { displaced, victims } = this.#displace(eviction);
    const isPlaced = displaced.length > 0 && victims.length === 0 &&
      this.#place(request);
    if (isPlaced) return displaced;
    // Units of the step that are not isolated may fit all the same.
    if (!isIsolated(request)) this.#stepsWithoutFit.add(request.stepKey);
    if (eviction !== undefined) this.#evict(request, victims, eviction.workers);
    return displaced;
  }

  /** Whether the unit leaves the headroom free, may use it, or could never start otherwise. */
  #isWithinHeadroom(request: WaitingUnit<Unit>): boolean {
    const { service, mayUseHeadroom } = request;
    const accelerators = countAccelerators(request);
    return mayUseHeadroom || accelerators <= (this.#spare.get(service) ?? 0) ||
      accelerators > (this.#largest.get(service) ?? 0);
  }

  /** False if the unit does not fit. */
  #place(request: WaitingUnit<Unit>): boolean {
    const fit = findFit(this.#listCapacities(request), request, request);
    if (fit === undefined) return false;
    subtractFit(fit, request);
    this.#recordStart(request, fit);
    this.#addSpare(request, -countAccelerators(request));
    this.#quotas.reserve(request);
    this.#shares?.add(request, 1);
    const { unit, organisation, step, stepKey, displacementCost } = request;
    this.#placements.set({
      unit,
      organisation,
      step,
      stepKey,
      workers: fit.capacities.map(({ view }) => view.worker),
      isEvictable: displacementCost !== undefined && !isIsolated(request),
      evictionCost: displacementCost ?? 0,
    }, { request, fit });
    return true;
  }

  /** The workers on which the unit may start. */
  #listCapacities(
    { isolation = ISOLATION.NONE }: WaitingUnit<Unit>,
  ): readonly WorkerCapacity[] {
    return isolation === ISOLATION.NONE
      ? this.#capacities
      : this.#capacities.filter((capacity) =>
        allowsStart(isolation, capacity, this.#startedOn)
      );
  }

  /** The workers on which others may be evicted for the unit. */
  #listEvictionCapacities(
    request: WaitingUnit<Unit>,
  ): readonly WorkerCapacity[] {
    const { evictionLimit } = request;
    const capacities = this.#listCapacities(request);
    if (evictionLimit === undefined) return capacities;
    switch (evictionLimit.kind) {
      case "nowhere":
        return [];
      case "except":
        return capacities.filter(({ view }) =>
          !evictionLimit.workers.has(view.worker)
        );
    }
  }

  /** Nothing else starts on the workers of an isolated unit. */
  #recordStart(request: WaitingUnit<Unit>, { capacities }: Fit): void {
    capacities.forEach(({ view }) => this.#startedOn.add(view.worker));
    if (!isIsolated(request)) return;
    this.#capacities = this.#capacities.filter((capacity) =>
      !capacities.includes(capacity)
    );
  }

  /** The evictions that make the request fit, if there are any and they are justified. */
  #planEviction(request: WaitingUnit<Unit>): EvictionPlan<Unit> | undefined {
    if (request.rank.tier === RANK_TIER.WORTHLESS) return undefined;
    const isGuaranteed = request.rank.tier === RANK_TIER.GUARANTEED;
    if (!isGuaranteed && request.evictionGain <= 0) return undefined;
    if (request.isolation === ISOLATION.EMPTY_WORKERS) return undefined;
    if (request.evictionLimit?.kind === "nowhere") return undefined;
    if (this.#evictionPlans >= MAXIMUM_EVICTION_PLANS) return undefined;
    this.#evictionPlans++;
    const plan = planEvictionByShares(
      this.#listEvictionCapacities(request),
      request,
      this.#listCandidates(),
      this.#shares,
    );
    const isJustified = isGuaranteed ||
      plan !== undefined && plan.cost < request.evictionGain;
    return isJustified ? plan : undefined;
  }

  /** Victims among the work of the unit's own organisation, without which it is within its quota. */
  #planQuotaReclaim(
    request: WaitingUnit<Unit>,
  ): QuotaReclaim<Unit> | undefined {
    const isGuaranteed = request.rank.tier === RANK_TIER.GUARANTEED;
    if (!isGuaranteed && request.evictionGain <= 0) return undefined;
    if (request.evictionLimit?.kind === "nowhere") return undefined;
    const reclaim = planQuotaReclaim(request, {
      units: [...this.#input.running, ...this.#placements.keys()],
      evicted: this.#evicted,
      ledger: this.#quotas,
    });
    const isJustified = isGuaranteed ||
      reclaim !== undefined && reclaim.cost < request.evictionGain;
    return isJustified ? reclaim : undefined;
  }

  /** The evictions that give an organisation below its share what others have above theirs. */
  #planReclaim(request: WaitingUnit<Unit>): EvictionPlan<Unit> | undefined {
    if (this.#shares?.mayReclaim(request) !== true) return undefined;
    if (request.isolation === ISOLATION.EMPTY_WORKERS) return undefined;
    if (this.#reclaimPlans >= MAXIMUM_RECLAIM_PLANS) return undefined;
    this.#reclaimPlans++;
    return planReclaim(
      this.#listEvictionCapacities(request),
      request,
      this.#listCandidates(),
      this.#shares,
    );
  }

  /** Units that run, or are placed, and are not evicted in this round. */
  #listCandidates(): readonly RunningUnit<Unit>[] {
    return [
      ...this.#input.running.filter((unit) => !this.#evicted.has(unit)),
      ...this.#placements.keys(),
    ];
  }

  /** Takes back the placements among the victims; the other victims are running. */
  #displace(eviction: Pick<EvictionPlan<Unit>, "victims"> | undefined) {
    const displaced: WaitingUnit<Unit>[] = [];
    const victims: RunningUnit<Unit>[] = [];
    for (const victim of eviction?.victims ?? []) {
      const placement = this.#placements.get(victim);
      if (placement === undefined) {
        victims.push(victim);
        continue;
      }
      const { request, fit } = placement;
      this.#placements.delete(victim);
      restoreFit(fit, request);
      this.#addSpare(request, countAccelerators(request));
      this.#quotas.release(request);
      this.#shares?.add(request, -1);
      displaced.push(request);
    }
    return { displaced, victims };
  }

  /**
   * Evicts the victims. Nothing else is placed in this round on the workers that the request waits
   * for, whose capacity may partly be free or being released already, nor in the part of the quota
   * that it needs.
   */
  #evict(
    request: WaitingUnit<Unit>,
    victims: readonly RunningUnit<Unit>[],
    workers: ReadonlySet<WorkerName>,
  ): void {
    const { unit: forUnit } = request;
    this.#quotas.reserve(request);
    this.#shares?.add(request, 1);
    for (const victim of victims) {
      this.#evicted.add(victim);
      this.#shares?.addRunning(victim, -1);
      const { unit } = victim;
      this.#evictions.push({ unit, forUnit, workers: [...workers] });
    }
    this.#capacities = this.#capacities.filter(({ view }) =>
      !workers.has(view.worker)
    );
  }

  #addSpare({ service }: WaitingUnit<Unit>, accelerators: number): void {
    const spare = this.#spare.get(service) ?? 0;
    this.#spare.set(service, spare + accelerators);
  }
}

function isIsolated<Unit>({ isolation }: WaitingUnit<Unit>): boolean {
  return isolation !== undefined && isolation !== ISOLATION.NONE;
}

/** Accelerators of all tasks of the unit. */
function countAccelerators<Unit>({ step, count }: WaitingUnit<Unit>): number {
  return step.need.accelerators * count;
}

/** Sums the accelerators of the workers of each service and subtracts its headroom. */
function sumBeyondHeadroom<Unit>(
  { workers, urgentHeadroom }: PlanInput<Unit>,
  getResources: (worker: WorkerView) => CellResources,
): Map<ServiceName, number> {
  const sums = new Map<ServiceName, number>();
  for (const worker of workers) {
    const { service } = worker;
    const sum = sums.get(service) ?? -(urgentHeadroom?.get(service) ?? 0);
    // A worker whose capacity has shrunk may have less than nothing free.
    sums.set(service, sum + Math.max(0, getResources(worker).accelerators));
  }
  return sums;
}
