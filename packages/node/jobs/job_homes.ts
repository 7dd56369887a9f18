/**
 * Where jobs wait: the home of a new job, and another home while a failure domain is out. Chosen
 * from the owners' summaries; a wrong choice costs time, never a promise.
 */
import type {
  Declarations,
  FailureDomainName,
  JobServiceDeclaration,
} from "@coltsfootpond/common";
import {
  checkShape,
  chooseFailureDomain,
  type DomainSummary,
  type GuaranteePlan,
  listGuaranteesHeld,
  planGuarantees,
  type QueuedJob,
} from "@coltsfootpond/policy";
import { FAILURE_DOMAIN_STATE, type JobRow } from "../rows.ts";
import type {
  ConfigurationView,
  DomainSummaryView,
  FailureDomainView,
  OwnershipView,
} from "../types.ts";
import { toQueuedJob } from "./active_job.ts";
import type { HomeChoice } from "./job_front.ts";
import type { StoredJob } from "./job_rows.ts";

export interface JobHomesOptions {
  readonly configuration: ConfigurationView;
  readonly failureDomains: FailureDomainView;
  readonly ownership: OwnershipView;
  readonly summaries: () => DomainSummaryView;
}

interface CachedPlan {
  readonly key: string;
  readonly plan: GuaranteePlan;
}

/** Chooses homes, and keeps the guarantee plan of the present configuration and domain states. */
export class JobHomes {
  readonly #options: JobHomesOptions;
  #cached: CachedPlan | undefined;

  private constructor(options: JobHomesOptions) {
    this.#options = options;
  }

  static create(options: JobHomesOptions): JobHomes {
    return new JobHomes(options);
  }

  /** The plan is a pure function of configuration and domain states, alike on every entry. */
  getPlan(): GuaranteePlan {
    const active = this.#options.configuration.current();
    if (active === undefined) return { holdings: [], problems: [] };
    const { declarations, version } = active;
    const out = declarations.failureDomains
      .map(({ name }) => name)
      .filter((name) => !this.#isIn(name));
    const key = `${version}|${out.join("|")}`;
    if (this.#cached?.key === key) return this.#cached.plan;
    const plan = planGuarantees(declarations, out);
    this.#cached = { key, plan };
    return plan;
  }

  choose(service: JobServiceDeclaration, row: JobRow): HomeChoice {
    const declarations = this.#options.configuration.current()?.declarations;
    if (declarations === undefined) return { kind: "none" };
    const check = checkShape(declarations, service.shape);
    if (check.kind === "never_fits") {
      return { kind: "never_fits", detail: describeNearest(check.nearest) };
    }
    const job = createCandidate(service, row);
    const home = this.#chooseAmong(declarations, job, () => true);
    return home === undefined
      ? { kind: "none" }
      : { kind: "home", failureDomain: home };
  }

  /** Another home for a waiting job; undefined when no other failure domain is in. */
  chooseOther(
    stored: StoredJob,
    from: FailureDomainName,
  ): FailureDomainName | undefined {
    const declarations = this.#options.configuration.current()?.declarations;
    const service = declarations?.services.find(({ name }) =>
      name === stored.row.service
    );
    if (declarations === undefined || service?.kind !== "job") return undefined;
    const job = createCandidate(service, stored.row);
    return this.#chooseAmong(declarations, job, (name) => name !== from);
  }

  #chooseAmong(
    declarations: Declarations,
    job: QueuedJob,
    isCandidate: (name: FailureDomainName) => boolean,
  ): FailureDomainName | undefined {
    const names = declarations.failureDomains.map(({ name }) => name);
    const inService = names.filter((name) =>
      isCandidate(name) && this.#isIn(name)
    );
    const owned = inService.filter((name) =>
      this.#options.ownership.getOwner(name) !== undefined
    );
    // A queued row outlives a change of owner, so an unowned home beats a refusal.
    const candidates = owned.length > 0 ? owned : inService;
    const summaries = new Map<FailureDomainName, DomainSummary>();
    for (const name of candidates) {
      const summary = this.#options.summaries().get(name);
      if (summary !== undefined) summaries.set(name, summary);
    }
    const guaranteeHolders = new Set(
      candidates.filter((name) => this.#holdsGuarantee(name, job)),
    );
    return chooseFailureDomain(job, summaries, candidates, {
      guaranteeHolders,
    });
  }

  #holdsGuarantee(name: FailureDomainName, job: QueuedJob): boolean {
    return listGuaranteesHeld(this.getPlan(), name).some((guarantee) =>
      guarantee.organisation === job.organisation &&
      guarantee.shape.tasks >= job.shape.tasks &&
      guarantee.shape.adjacency === job.shape.adjacency
    );
  }

  #isIn(name: FailureDomainName): boolean {
    return this.#options.failureDomains.get(name).state ===
      FAILURE_DOMAIN_STATE.IN;
  }
}

function createCandidate(
  service: JobServiceDeclaration,
  row: JobRow,
): QueuedJob {
  return toQueuedJob({ stored: { row, version: 0 }, service, knownAtMs: 0 }, 0);
}

function describeNearest(
  nearest: JobServiceDeclaration["shape"] | undefined,
): string {
  if (nearest === undefined) return "no worker can run one of its tasks";
  const { tasks, perTask, adjacency } = nearest;
  return `the nearest shape that fits: ${tasks} tasks of ${perTask.milliprocessors} milliprocessors, ` +
    `${perTask.memoryMib} MiB and ${perTask.accelerators} accelerators within one ${adjacency}`;
}
