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
import { toQueuedJob } from "./live_job.ts";
import type { FailureDomainChoice } from "./job_api.ts";
import type { MoveCandidate } from "./live_jobs_types.ts";

export interface JobRouterOptions {
  readonly configuration: ConfigurationView;
  readonly failureDomains: FailureDomainView;
  readonly ownership: OwnershipView;
  readonly summaries: () => DomainSummaries;
}

/** A summary as heard, and what is left of it after jobs that were sent there since. */
interface DebitedSummary {
  readonly base: DomainSummary;
  readonly rest: DomainSummary;
}

interface CachedPlan {
  readonly key: string;
  readonly plan: GuaranteePlan;
}

/** Chooses homes, and keeps the guarantee plan of the present configuration and domain states. */
export class JobRouter {
  readonly #options: JobRouterOptions;
  readonly #debited = new Map<FailureDomainName, DebitedSummary>();
  #cached: CachedPlan | undefined;

  private constructor(options: JobRouterOptions) {
    this.#options = options;
  }

  static create(options: JobRouterOptions): JobRouter {
    return new JobRouter(options);
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

  choose(service: JobServiceDeclaration, row: JobRow): FailureDomainChoice {
    const declarations = this.#options.configuration.current()?.declarations;
    if (declarations === undefined) return { kind: "none" };
    const check = checkShape(declarations, service.shape);
    if (check.kind === "never_fits") {
      return { kind: "never_fits", detail: describeNearest(check.nearest) };
    }
    const job = createCandidate(service, row);
    const names = this.#listCandidates(declarations);
    const home = this.#chooseAmong(job, names);
    if (home === undefined) return { kind: "none" };
    this.#debit(home, job);
    return { kind: "home", failureDomain: home };
  }

  /**
   * A better home for a waiting job; undefined when it should stay. While its failure domain is out
   * any other will do.
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
    const job = createCandidate(service, stored.row);
    const names = this.#listCandidates(declarations);
    const home = this.#isIn(from)
      ? chooseNewFailureDomain({
        job,
        current: from,
        waitedMs: waitedHereMs,
        moves: stored.row.moves,
        summaries: this.#listSummaries(names),
        domainsInService: names,
      })
      : this.#chooseAmong(job, names.filter((name) => name !== from));
    if (home !== undefined) this.#debit(home, job);
    return home;
  }

  /** A queued row outlives a change of owner, so an unowned home beats none. */
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
    const guaranteeHolders = new Set(
      names.filter((name) => this.#holdsGuarantee(name, job)),
    );
    const summaries = this.#listSummaries(names);
    return chooseFailureDomain(job, summaries, names, {
      guaranteeDomains: guaranteeHolders,
    });
  }

  /** The newest summaries, less what was sent there since they were made. */
  #listSummaries(
    names: readonly FailureDomainName[],
  ): ReadonlyMap<FailureDomainName, DomainSummary> {
    const summaries = new Map<FailureDomainName, DomainSummary>();
    for (const name of names) {
      const summary = this.#options.summaries().get(name);
      if (summary === undefined) continue;
      const debited = this.#debited.get(name);
      summaries.set(name, debited?.base === summary ? debited.rest : summary);
    }
    return summaries;
  }

  #debit(name: FailureDomainName, job: EngineJob): void {
    const base = this.#options.summaries().get(name);
    const summary = this.#listSummaries([name]).get(name);
    if (base === undefined || summary === undefined) return;
    this.#debited.set(name, { base, rest: subtractDemand(summary, job.shape) });
  }

  #holdsGuarantee(name: FailureDomainName, job: EngineJob): boolean {
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

function createCandidate(
  service: JobServiceDeclaration,
  row: JobRow,
): EngineJob {
  return toQueuedJob({
    stored: { row, version: 0 },
    service,
    knownAtMs: 0,
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
