/**
 * Connects the controllers of one entry: shared state, jobs, and the job API for callers. It opens
 * no socket, so the daemon runs it on a real mesh and the scenarios on a simulated one.
 */
import {
  type Declarations,
  type FailureDomainName,
  formatProblem,
  parseDeclarations,
} from "@coltsfootpond/common";
import { ResilientTable } from "@coltsfootpond/ports";
import {
  createPlacementEngine,
  listDomainGuarantees,
  type PlacementEngine,
  planGuarantees,
} from "@coltsfootpond/policy";
import type {
  ConfigurationFile,
  ConfigurationProblem,
  ParseOutcome,
} from "./configuration/types.ts";
import { JobApi } from "./jobs/job_api.ts";
import { JobRouter } from "./jobs/job_router.ts";
import { JobsController } from "./jobs/jobs_controller.ts";
import type { EntryAddress } from "./membership/membership_controller.ts";
import { RelayTable } from "./relay/relay_table.ts";
import { StateControllers } from "./state/state_controllers.ts";
import type { EntryContext, Mesh } from "./types.ts";

export interface EntryCoreOptions {
  readonly context: EntryContext;
  readonly mesh: Mesh;
  readonly address: EntryAddress;
}

/** All controllers of one entry. `table` is the table service with retries. */
export class EntryCore {
  readonly table: ResilientTable;
  readonly state: StateControllers;
  readonly jobs: JobsController;
  readonly jobApi: JobApi;
  readonly #context: EntryContext;
  readonly #jobRouter: JobRouter;

  private constructor(options: EntryCoreOptions) {
    const { context, mesh } = options;
    const table = createTable(options);
    this.#context = context;
    this.table = table;
    this.state = StateControllers.create({
      ...options,
      table,
      parse,
      checkFeasibility,
    });
    const { configuration, failureDomains, ownership } = this.state;
    const shared = { configuration, failureDomains, ownership };
    this.#jobRouter = JobRouter.create({
      ...shared,
      summaries: () => this.jobs,
    });
    this.jobs = JobsController.create({
      ...shared,
      context,
      table,
      mesh,
      rows: this.state.rows,
      createEngine: () => createPlacementEngine(),
      configureEngine: (engine, failureDomain) =>
        this.#configureEngine(engine, failureDomain),
      chooseOtherFailureDomain: (move, from) =>
        this.#jobRouter.chooseOther(move, from),
    });
    this.jobApi = JobApi.create({
      context,
      table,
      configuration,
      chooseFailureDomain: (service, row) =>
        this.#jobRouter.choose(service, row),
      notify: (notice) => this.jobs.notify(notice),
      getWaitReason: (failureDomain, jobId) =>
        this.jobs.getWaitReason(failureDomain, jobId),
      endedJobs: this.jobs.endedJobs,
    });
  }

  static create(options: EntryCoreOptions): EntryCore {
    return new EntryCore(options);
  }

  async start(): Promise<void> {
    await this.jobs.start();
    await this.state.start();
  }

  /** Announces that the entry leaves and hands over its failure domains; calls are still served. */
  async leave(): Promise<void> {
    await this.state.leave();
    await this.jobs.stop();
  }

  async stop(): Promise<void> {
    await this.jobs.stop();
    await this.state.stop();
  }

  #configureEngine(
    engine: PlacementEngine,
    failureDomain: FailureDomainName,
  ): void {
    const declarations = this.state.configuration.current()?.declarations;
    if (declarations === undefined) return;
    engine.apply({
      kind: "configuration",
      guarantees: listDomainGuarantees(
        this.#jobRouter.getPlan(),
        failureDomain,
      ),
      organisations: declarations.organisations,
    }, this.#context.clock.nowMs());
  }
}

/** The table service, directly or relayed by a peer; unsettled writes are resolved by reading. */
function createTable({ context, mesh }: EntryCoreOptions): ResilientTable {
  const { clock, random, events, platform } = context;
  const port = RelayTable.create({
    direct: platform.table,
    mesh,
    clock,
    random,
    events,
  });
  return ResilientTable.create({ port, clock, random });
}

function parse(files: readonly ConfigurationFile[]): ParseOutcome {
  const outcome = parseDeclarations(files);
  if (outcome.kind === "valid") return outcome;
  const problems = outcome.problems.map((problem) => ({
    fileName: problem.file,
    message: formatProblem(problem),
  }));
  return { kind: "invalid", problems };
}

function checkFeasibility(
  declarations: Declarations,
): readonly ConfigurationProblem[] {
  const { problems } = planGuarantees(declarations, []);
  return problems.map((problem) => ({ message: problem.detail }));
}
