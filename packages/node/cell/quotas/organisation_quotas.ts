/**
 * Usage and quotas of the organisations as the lease holder sees them. Nothing is stored: the usage
 * follows from the workers' sessions and from the placements of earlier holders.
 */
import type { OrganisationName, WorkerName } from "@coltsfootpond/common";
import {
  type CellResources,
  findLargestCapacity,
  isWithinQuota,
  NO_USAGE,
  type OrganisationLimits,
  type OrganisationShares,
  type OrganisationUsage,
} from "@coltsfootpond/policy";
import type { DeclaredState } from "@coltsfootpond/ports";
import type { LiveJob, Unit } from "../live_job.ts";
import type { WorkerSession } from "../worker_session.ts";
import { countUsage } from "./count_usage.ts";
import { EarlierPlacements } from "./earlier_placements.ts";

export interface OrganisationQuotasOptions {
  readonly getDeclaredState: () => DeclaredState | undefined;
  readonly listJobs: () => readonly LiveJob[];
  readonly listSessions: () => readonly WorkerSession[];
  /** Whether the worker may run tasks of an earlier lease holder that are not known yet. */
  readonly isUnreported: (worker: WorkerName) => boolean;
}

/** Usage above a quota, with the version of the declared state that has the quota. */
export interface QuotaExcess {
  readonly organisation: OrganisationName;
  readonly usage: CellResources;
  readonly quota: CellResources;
  readonly declaredVersion: number;
}

export class OrganisationQuotas {
  readonly #options: OrganisationQuotasOptions;
  readonly #earlierPlacements = EarlierPlacements.create();

  private constructor(options: OrganisationQuotasOptions) {
    this.#options = options;
  }

  static create(options: OrganisationQuotasOptions): OrganisationQuotas {
    return new OrganisationQuotas(options);
  }

  /** Takes note of the placements of earlier holders, before any of the jobs can end. */
  recordEarlierPlacements(): void {
    this.#earlierPlacements.record(this.#options.listJobs());
  }

  /** Input of a round; undefined where no organisation has a quota or a weight. */
  createShares(): OrganisationShares | undefined {
    const limits = this.#listLimits();
    if (limits.size === 0) return undefined;
    return { usage: this.countUsage(), limits };
  }

  /** What runs for each organisation, also for those without a quota. */
  countUsage(): OrganisationUsage {
    const limits = this.#listLimits();
    this.recordEarlierPlacements();
    const sessions = this.#options.listSessions();
    const capacities = sessions.flatMap(({ record }) =>
      record === undefined ? [] : [record]
    );
    return countUsage({
      workers: sessions.map(({ record, taskRuns }) => ({
        capacity: record?.capacity,
        taskRuns,
      })),
      unreported: this.#earlierPlacements.list(this.#options.isUnreported),
      organisations: [...limits.keys()],
      largestCapacity: findLargestCapacity(capacities) ?? NO_USAGE,
    });
  }

  /**
   * The excess over the quota of the unit's organisation, whose usage includes the unit's
   * reservations; undefined if there is none.
   */
  findExcess({ job }: Unit): QuotaExcess | undefined {
    const state = this.#options.getDeclaredState();
    const { organisation } = job.spec;
    if (organisation === undefined || state === undefined) return undefined;
    const quota = state.shares.find((share) =>
      share.organisation === organisation
    )?.quota;
    if (quota === undefined) return undefined;
    const usage = this.createShares()?.usage.get(organisation) ?? NO_USAGE;
    if (isWithinQuota(usage, quota)) return undefined;
    return { organisation, usage, quota, declaredVersion: state.version };
  }

  #listLimits(): ReadonlyMap<OrganisationName, OrganisationLimits> {
    const shares = this.#options.getDeclaredState()?.shares ?? [];
    return new Map(
      shares.filter(({ weight, quota }) =>
        weight !== undefined || quota !== undefined
      ).map(({ organisation, weight, quota }) => [
        organisation,
        { weight, quota },
      ]),
    );
  }
}
