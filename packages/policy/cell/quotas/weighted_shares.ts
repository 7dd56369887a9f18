/**
 * Weighted shares of organisations while a round is planned. Each service has its own workers, so
 * its capacity is divided on its own. While all demand of a service is met, no organisation is above
 * its share.
 */
import type {
  OrganisationName,
  ServiceName,
  WorkerName,
} from "@coltsfootpond/common";
import type { RunningUnit } from "../eviction.ts";
import {
  addCellResources,
  getCountedNeed,
  subtractCellResources,
} from "../fit.ts";
import { RANK_TIER } from "../job_rank.ts";
import type { PlanInput, WaitingUnit } from "../plan_round.ts";
import type { CellResources, StepSpec } from "../types.ts";
import { computeDominantShare, computeFairLevel } from "./fair_level.ts";
import {
  multiplyResources,
  NO_USAGE,
  type OrganisationShares,
} from "./organisation_usage.ts";

/** Of an organisation without a declared weight, and of all public queues together. */
const DEFAULT_WEIGHT = 1;
/** Rounding errors of shares stay below it. */
const TOLERANCE = 1e-9;
/**
 * How long a unit of an organisation below its share waits until runs of others are evicted for it.
 * The platform's rules let no job of a small organisation wait more than 3 s; a task takes less than
 * the rest to stop. Usually, capacity comes free earlier without loss of work.
 */
const RECLAIM_WAIT_MS = 2_000;

type Owner = OrganisationName | undefined;

interface ServiceShares {
  capacity: CellResources;
  readonly usage: Map<Owner, CellResources>;
  /** Dominant share for each unit of weight. */
  level: number;
}

interface Tasks {
  readonly service: ServiceName;
  readonly organisation: Owner;
  readonly step: StepSpec;
  readonly count: number;
}

export class WeightedShares {
  readonly #limits: OrganisationShares["limits"];
  readonly #services = new Map<ServiceName, ServiceShares>();
  readonly #serviceByWorker = new Map<WorkerName, ServiceName>();
  #changes = 0;

  private constructor(
    { workers, running, waiting }: PlanInput<unknown>,
    limits: OrganisationShares["limits"],
  ) {
    this.#limits = limits;
    for (const { worker, service, capacity } of workers) {
      this.#serviceByWorker.set(worker, service);
      const shares = this.#getService(service);
      shares.capacity = addCellResources(shares.capacity, capacity);
    }
    for (const unit of running) {
      // The capacity of a run that is being stopped is to be divided already.
      if (unit.isClosing !== true) this.addRunning(unit, 1);
    }
    this.#setLevels(waiting);
  }

  /** Undefined if no organisation has a weight. */
  static create(input: PlanInput<unknown>): WeightedShares | undefined {
    const limits = input.shares?.limits;
    const isWeighted = limits !== undefined &&
      [...limits.values()].some(({ weight }) => weight !== undefined);
    return isWeighted ? new WeightedShares(input, limits) : undefined;
  }

  /** Increases with each change of the usage. */
  get changes(): number {
    return this.#changes;
  }

  /** Whether the organisations ask for more than the service has. */
  isContended(service: ServiceName): boolean {
    return Number.isFinite(this.#getService(service).level);
  }

  /** Dominant share of the organisation for each unit of weight. */
  computeFill({ service, organisation }: Omit<Tasks, "step" | "count">) {
    return this.#computeUsed(service, organisation) /
      this.#getWeight(organisation);
  }

  /** Adds, or subtracts, a unit that is placed or for which others are evicted. */
  add(unit: Tasks, sign: 1 | -1): void {
    this.#changes++;
    const { organisation, step, count } = unit;
    const { usage } = this.#getService(unit.service);
    const used = usage.get(organisation) ?? NO_USAGE;
    const tasks = multiplyResources(getCountedNeed(step), sign * count);
    usage.set(organisation, addCellResources(used, tasks));
  }

  addRunning(unit: RunningUnit<unknown>, sign: 1 | -1): void {
    const tasks = this.#toTasks(unit);
    if (tasks !== undefined) this.add(tasks, sign);
  }

  /** Whether the organisation uses less than its share of the service. */
  isBelow({ service, organisation }: Omit<Tasks, "step" | "count">): boolean {
    const share = this.#computeShare(service, organisation);
    return this.#computeUsed(service, organisation) < share - TOLERANCE;
  }

  /** Whether nothing of the organisation runs in the service. */
  hasNothing({ service, organisation }: Omit<Tasks, "step" | "count">) {
    return this.#computeUsed(service, organisation) <= TOLERANCE;
  }

  /**
   * Whether the organisation has at most its share once the unit runs, or has only this unit, which
   * may be wider than the share. Otherwise, capacity that is reclaimed for such a unit would go to
   * units of others as soon as it is free.
   */
  isInShare(unit: Tasks): boolean {
    if (this.hasNothing(unit)) return true;
    const { service, organisation, step, count } = unit;
    const { usage, capacity } = this.#getService(service);
    const used = addCellResources(
      usage.get(organisation) ?? NO_USAGE,
      multiplyResources(getCountedNeed(step), count),
    );
    const share = this.#computeShare(service, organisation);
    return computeDominantShare(used, capacity) <= share + TOLERANCE;
  }

  /** Whether the organisation of a running unit uses more than its share of the service. */
  isAbove(unit: RunningUnit<unknown>): boolean {
    const tasks = this.#toTasks(unit);
    if (tasks === undefined) return false;
    const { service, organisation } = tasks;
    const share = this.#computeShare(service, organisation);
    return this.#computeUsed(service, organisation) > share + TOLERANCE;
  }

  /**
   * Whether the unit may be evicted by value: work of an organisation below its share is not evicted
   * for one that has its share, unless a guarantee covers the unit.
   */
  mayEvict(
    request: WaitingUnit<unknown>,
    victim: RunningUnit<unknown>,
  ): boolean {
    if (request.rank.tier === RANK_TIER.GUARANTEED) return true;
    const tasks = this.#toTasks(victim);
    if (tasks === undefined || request.organisation === tasks.organisation) {
      return true;
    }
    return this.isBelow(request) || !this.isBelow(tasks);
  }

  /** Whether runs of other organisations may be evicted for the unit to have its share. */
  mayReclaim(request: WaitingUnit<unknown>): boolean {
    return request.rank.tier === RANK_TIER.ORDINARY &&
      (request.waitedMs ?? 0) >= RECLAIM_WAIT_MS && this.isBelow(request);
  }

  /**
   * Whether the victims' organisations keep their shares. For a unit within the share of its own
   * organisation, they keep them up to the size of one victim. For a unit of an organisation of which
   * nothing runs, they need only keep something, so that a unit wider than the share, or than any
   * place that comes free, does not wait for ever. None of this goes back and forth: an organisation
   * within its share loses nothing, and none is left with nothing.
   */
  allowsReclaim(
    request: WaitingUnit<unknown>,
    victims: readonly RunningUnit<unknown>[],
  ): boolean {
    const { service } = request;
    const { usage, capacity } = this.#getService(service);
    const remaining = new Map(usage);
    const tasks = victims.flatMap((victim) => this.#toTasks(victim) ?? []);
    const sizes = new Map<Owner, number>();
    for (const { organisation, step, count } of tasks) {
      const released = multiplyResources(getCountedNeed(step), count);
      const used = remaining.get(organisation) ?? NO_USAGE;
      remaining.set(organisation, subtractCellResources(used, released));
      const size = computeDominantShare(released, capacity);
      sizes.set(organisation, Math.max(sizes.get(organisation) ?? 0, size));
    }
    const hasNothing = this.hasNothing(request);
    const isInShare = this.isInShare(request);
    return [...sizes].every(([organisation, largest]) => {
      const left = computeDominantShare(remaining.get(organisation)!, capacity);
      const share = this.#computeShare(service, organisation);
      if (left <= TOLERANCE) return false;
      return hasNothing || left >= share - TOLERANCE ||
        isInShare && left + largest > share + TOLERANCE;
    });
  }

  #setLevels(waiting: readonly WaitingUnit<unknown>[]): void {
    const demands = new Map<ServiceName, Map<Owner, CellResources>>();
    for (const [service, { usage }] of this.#services) {
      demands.set(service, new Map(usage));
    }
    for (const { service, organisation, step, count, rank } of waiting) {
      const demand = demands.get(service);
      // Work that has lost its value takes nothing from others.
      if (demand === undefined || rank.tier === RANK_TIER.WORTHLESS) continue;
      const known = demand.get(organisation) ?? NO_USAGE;
      const tasks = multiplyResources(getCountedNeed(step), count);
      demand.set(organisation, addCellResources(known, tasks));
    }
    for (const [service, demand] of demands) {
      const shares = this.#getService(service);
      shares.level = computeFairLevel(
        [...demand].map(([owner, resources]) => ({
          weight: this.#getWeight(owner),
          dominantShare: computeDominantShare(
            this.#limitToQuota(owner, resources),
            shares.capacity,
          ),
        })),
      );
    }
  }

  /** What an organisation wants beyond its quota is left to the others. */
  #limitToQuota(owner: Owner, resources: CellResources): CellResources {
    const quota = owner && this.#limits.get(owner)?.quota;
    if (quota === undefined) return resources;
    const limit = (demand: number, most: number) =>
      most > 0 ? Math.min(demand, most) : demand;
    return {
      cpuMilli: limit(resources.cpuMilli, quota.cpuMilli),
      memoryMib: limit(resources.memoryMib, quota.memoryMib),
      accelerators: limit(resources.accelerators, quota.accelerators),
    };
  }

  #computeUsed(service: ServiceName, owner: Owner): number {
    const { usage, capacity } = this.#getService(service);
    return computeDominantShare(usage.get(owner) ?? NO_USAGE, capacity);
  }

  #computeShare(service: ServiceName, owner: Owner): number {
    return this.#getService(service).level * this.#getWeight(owner);
  }

  #getWeight(owner: Owner): number {
    const weight = owner && this.#limits.get(owner)?.weight;
    return weight ?? DEFAULT_WEIGHT;
  }

  #getService(service: ServiceName): ServiceShares {
    const known = this.#services.get(service);
    if (known !== undefined) return known;
    const level = Number.POSITIVE_INFINITY;
    const shares = { capacity: NO_USAGE, usage: new Map(), level };
    this.#services.set(service, shares);
    return shares;
  }

  /** The tasks on usable workers, whose capacity is divided; undefined if there are none. */
  #toTasks(
    { organisation, step, workers }: RunningUnit<unknown>,
  ): Tasks | undefined {
    const services = workers.flatMap((worker) =>
      this.#serviceByWorker.get(worker) ?? []
    );
    const [service] = services;
    if (service === undefined) return undefined;
    return { service, organisation, step, count: services.length };
  }
}
