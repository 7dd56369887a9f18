/**
 * Chooses the failure domain in whose queue a job waits: for a new job, and for a waiting job that
 * should move. Based on the owners' summaries, which may be outdated: a wrong choice delays a job
 * but breaks no guarantee.
 */
import type {
  Declarations,
  FailureDomainName,
  JobServiceDeclaration,
} from "@coltsfootpond/common";
import {
  checkShape,
  chooseFailureDomain,
  chooseNewFailureDomain,
  type DomainSummary,
  type EngineJob,
  type GuaranteePlan,
  listDomainGuarantees,
  planGuarantees,
  subtractDemand,
  suitsGuarantee,
} from "@coltsfootpond/policy";
import { FAILURE_DOMAIN_STATE, type JobRow } from "../rows.ts";
import type {
  ConfigurationView,
  DomainSummaries,
  FailureDomainView,
  OwnershipView,
} from "../types.ts";
import { toEngineJob } from "./live_job.ts";
import type { FailureDomainChoice } from "./job_api.ts";
import type { MoveCandidate } from "./live_jobs_types.ts";

export interface JobRouterOptions {
  readonly configuration: ConfigurationView;
  readonly failureDomains: FailureDomainView;
  readonly ownership: OwnershipView;
  readonly summaries: () => DomainSummaries;
}

/** A summary as received, and what remains of it after the jobs that were sent there since. */
interface AdjustedSummary {
  readonly base: DomainSummary;
  readonly remaining: DomainSummary;
}

interface CachedPlan {
  readonly key: string;
  readonly plan: GuaranteePlan;
}

/** Also caches the guarantee plan of the present configuration and failure domain states. */
export class JobRouter {
  readonly #options: JobRouterOptions;
  readonly #adjusted = new Map<FailureDomainName, AdjustedSummary>();
  #cached: CachedPlan | undefined;

  private constructor(options: JobRouterOptions) {
    this.#options = options;
  }

  static create(options: JobRouterOptions): JobRouter {
    return new JobRouter(options);
  }

  /** The plan is a pure function of configuration and failure domain states, so entries agree. */
  getPlan(): GuaranteePlan {
    const active = this.#options.configuration.current();
    if (active === undefined) return { assignments: [], problems: [] };
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

  choose(service: JobServiceDeclaration, row: JobRow): FailureDomainChoice {
    const declarations = this.#options.configuration.current()?.declarations;
    if (declarations === undefined) return { kind: "none" };
    const check = checkShape(declarations, service.shape);
    if (check.kind === "never_fits") {
      return { kind: "never_fits", detail: describeNearest(check.nearest) };
    }
    const job = createEngineJob(service, row);
    const names = this.#listCandidates(declarations);
    const chosen = this.#chooseAmong(job, names);
    if (chosen === undefined) return { kind: "none" };
    this.#recordSentJob(chosen, job);
    return { kind: "chosen", failureDomain: chosen };
  }

  /**
   * A better failure domain for a waiting job; undefined when it should stay. While the present one
   * is out of service, any other is better.
   */
  chooseOther(
    { stored, waitedHereMs }: MoveCandidate,
    from: FailureDomainName,
  ): FailureDomainName | undefined {
    const declarations = this.#options.configuration.current()?.declarations;
    const service = declarations?.services.find(({ name }) =>
      name === stored.row.service
    );
    if (declarations === undefined || service?.kind !== "job") return undefined;
    const job = createEngineJob(service, stored.row);
    const names = this.#listCandidates(declarations);
    const chosen = this.#isIn(from)
      ? chooseNewFailureDomain({
        job,
        current: from,
        waitedMs: waitedHereMs,
        moves: stored.row.moves,
        summaries: this.#listSummaries(names),
        domainsInService: names,
      })
      : this.#chooseAmong(job, names.filter((name) => name !== from));
    if (chosen !== undefined) this.#recordSentJob(chosen, job);
    return chosen;
  }

  /** A queued job's row survives a change of owner, so an unowned domain is better than none. */
  #listCandidates(declarations: Declarations): readonly FailureDomainName[] {
    const inService = declarations.failureDomains
      .map(({ name }) => name)
      .filter((name) => this.#isIn(name));
    const owned = inService.filter((name) =>
      this.#options.ownership.getOwner(name) !== undefined
    );
    return owned.length > 0 ? owned : inService;
  }

  #chooseAmong(
    job: EngineJob,
    names: readonly FailureDomainName[],
  ): FailureDomainName | undefined {
    const guaranteeDomains = new Set(
      names.filter((name) => this.#hasGuarantee(name, job)),
    );
    const summaries = this.#listSummaries(names);
    return chooseFailureDomain(job, summaries, names, {
      guaranteeDomains,
    });
  }

  /** The newest summaries, less the demand of the jobs sent there since they were received. */
  #listSummaries(
    names: readonly FailureDomainName[],
  ): ReadonlyMap<FailureDomainName, DomainSummary> {
    const summaries = new Map<FailureDomainName, DomainSummary>();
    for (const name of names) {
      const summary = this.#options.summaries().get(name);
      if (summary === undefined) continue;
      const adjusted = this.#adjusted.get(name);
      summaries.set(
        name,
        adjusted?.base === summary ? adjusted.remaining : summary,
      );
    }
    return summaries;
  }

  #recordSentJob(name: FailureDomainName, job: EngineJob): void {
    const base = this.#options.summaries().get(name);
    const summary = this.#listSummaries([name]).get(name);
    if (base === undefined || summary === undefined) return;
    this.#adjusted.set(name, {
      base,
      remaining: subtractDemand(summary, job.shape),
    });
  }

  #hasGuarantee(name: FailureDomainName, job: EngineJob): boolean {
    return listDomainGuarantees(this.getPlan(), name).some((guarantee) =>
      guarantee.organisation === job.organisation &&
      suitsGuarantee(guarantee.shape, job.shape)
    );
  }

  #isIn(name: FailureDomainName): boolean {
    return this.#options.failureDomains.get(name).state ===
      FAILURE_DOMAIN_STATE.IN;
  }
}

function createEngineJob(
  service: JobServiceDeclaration,
  row: JobRow,
): EngineJob {
  return toEngineJob({
    stored: { row, version: 0 },
    service,
    waitingSinceMs: 0,
    isMoving: false,
  }, 0);
}

function describeNearest(
  nearest: JobServiceDeclaration["shape"] | undefined,
): string {
  if (nearest === undefined) return "no worker can run one of its tasks";
  const { tasks, perTask, adjacency } = nearest;
  return `the nearest shape that fits: ${tasks} tasks of ${perTask.milliprocessors} milliprocessors, ` +
    `${perTask.memoryMib} MiB and ${perTask.accelerators} accelerators within one ${adjacency}`;
}
