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

  /** Why a start would bring the unit's organisation above its quota; undefined if it would not. */
  findWait<Unit>(
    request: QuotaRequest & { readonly unit: Unit },
  ): QuotaWait<Unit> | undefined {
    const { unit, organisation } = request;
    if (organisation === undefined) return undefined;
    const quota = this.#shares?.limits.get(organisation)?.quota;
    if (quota === undefined) return undefined;
    const usage = this.getUsage(organisation);
    const requirement = computeRequirement(request);
    const total = addCellResources(usage, requirement);
    if (isWithinQuota(total, quota)) return undefined;
    return { unit, organisation, usage, requirement, quota };
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
