/** Usage of each organisation while a round is planned, compared with the quotas. */
import type { OrganisationName } from "@coltsfootpond/common";
import { addCellResources } from "../fit.ts";
import type { CellResources, StepSpec } from "../types.ts";
import {
  addUsage,
  computeRequirement,
  isWithinQuota,
  multiplyResources,
  NO_USAGE,
  type OrganisationShares,
} from "./organisation_usage.ts";

/** The tasks of a unit, which count against the quota of its organisation. */
export interface QuotaRequest {
  /** Undefined on public queues, which have no quota. */
  readonly organisation: OrganisationName | undefined;
  readonly step: StepSpec;
  readonly count: number;
  /** Whether it may use the reserve for urgent jobs. */
  readonly mayUseHeadroom: boolean;
}

/** A unit that the quota of its organisation holds back, with what this follows from. */
export interface QuotaWait<Unit> {
  readonly unit: Unit;
  readonly organisation: OrganisationName;
  readonly usage: CellResources;
  readonly requirement: CellResources;
  readonly quota: CellResources;
}

/** A unit that the quota of its organisation holds back, with what this follows from. */
export interface QuotaWait<Unit> {
  readonly unit: Unit;
  readonly organisation: OrganisationName;
  readonly usage: CellResources;
  readonly requirement: CellResources;
  readonly quota: CellResources;
}

/**
 * Starts from the usage of all runs, whatever their state. What a round places is added, and what it
 * takes back is subtracted; an evicted run counts until it is gone.
 */
export class QuotaLedger {
  readonly #shares: OrganisationShares | undefined;
  readonly #usage: Map<OrganisationName, CellResources>;

  private constructor(shares: OrganisationShares | undefined) {
    this.#shares = shares;
    this.#usage = new Map(shares?.usage);
  }

  /** Without shares, no organisation is limited. */
  static create(shares: OrganisationShares | undefined): QuotaLedger {
    return new QuotaLedger(shares);
  }

  /** Why the quota of the unit's organisation holds it back; undefined if it does not. */
  findWait<Unit>(
    request: QuotaRequest & { readonly unit: Unit },
  ): QuotaWait<Unit> | undefined {
    const { unit, organisation } = request;
    if (organisation === undefined) return undefined;
    const quota = this.getQuota(organisation);
    if (quota === undefined) return undefined;
    const usage = this.getUsage(organisation);
    const requirement = computeRequirement(request);
    const total = addCellResources(usage, requirement);
    const mayStart = isWithinQuota(total, quota) &&
      (request.mayUseHeadroom || this.#leavesReserve(request, total, quota));
    if (mayStart) return undefined;
    return { unit, organisation, usage, requirement, quota };
  }

  /** A unit that could never start beside the reserve may use it. */
  #leavesReserve(
    request: QuotaRequest,
    total: CellResources,
    quota: CellResources,
  ): boolean {
    const reserve = request.organisation &&
      this.#shares?.urgentReserves?.get(request.organisation);
    if (reserve === undefined) return true;
    const isWithin = (usage: CellResources) =>
      isWithinQuota(addCellResources(usage, reserve), quota);
    return isWithin(total) || !isWithin(computeRequirement(request));
  }

  /** Undefined without a limit. */
  getQuota(organisation: OrganisationName): CellResources | undefined {
    return this.#shares?.limits.get(organisation)?.quota;
  }

  getUsage(organisation: OrganisationName): CellResources {
    return this.#usage.get(organisation) ?? NO_USAGE;
  }

  /** Counts a unit that is placed, or for which others are evicted. */
  reserve(request: QuotaRequest): void {
    this.#add(request, computeRequirement(request));
  }

  /** Takes back a reservation. */
  release(request: QuotaRequest): void {
    this.#add(request, multiplyResources(computeRequirement(request), -1));
  }

  #add({ organisation }: QuotaRequest, resources: CellResources): void {
    if (organisation === undefined) return;
    addUsage(this.#usage, organisation, resources);
  }
}
