/** The faults and operations that the demo runs during the load, and the evidence it collects. */
import { performance } from "node:perf_hooks";
import { SeededRandom } from "@coltsfootpond/common";
import { UPSTREAM_LEAVING_BOUND_MS } from "@coltsfootpond/node";
import type { StatusDocument } from "../../apps/coltsfootpond/status_documents.ts";
import type { Cluster, EntryHandle, RunnerHandle } from "./cluster.ts";
import type { Example } from "./example.ts";
import { planLoad } from "./load_plan.ts";
import { LoadGenerator } from "./load_generator.ts";
import type {
  DemoEvidence,
  KillWindow,
  LeavingRunner,
  PlannedStop,
  RunnerExecution,
} from "./promises.ts";

export interface DemoScenarioOptions {
  readonly example: Example;
  readonly cluster: Cluster;
  readonly seed: number;
  readonly durationMs: number;
  readonly logProgress: (line: string) => void;
}

/** Start of each step as a share of the load's duration. */
const STEP_SHARE = {
  RUNNER_LEAVES: 0.15,
  DOMAIN_OUT: 0.2,
  SECOND_APPLY: 0.4,
  DOMAIN_IN: 0.6,
  KILL: 0.7,
  PLANNED_STOP: 0.85,
} as const;
/** How long callers wait, after the load, for requests without a result. */
const DRAIN_MS = 20_000;
const IN_FORCE_BOUND_MS = 5_000;
const POLL_PERIOD_MS = 100;

interface RunnerLedgerDocument {
  readonly executions: readonly RunnerExecution[];
}

function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

function getAt<Item>(items: readonly Item[], index: number): Item {
  const item = items[index];
  if (item === undefined) throw new Error(`no item at index ${index}`);
  return item;
}

async function listExecutions(
  runner: RunnerHandle,
): Promise<readonly RunnerExecution[]> {
  const ledger = await runner.client.get<RunnerLedgerDocument>("/ledger");
  return ledger.executions;
}

/** Applies the declarations through one entry; resolves with the accepted version. */
export async function applyExample(
  example: Example,
  entry: EntryHandle,
  baseVersion: number,
): Promise<number> {
  const accepted = await entry.operator.send<{ readonly version: number }>(
    "PUT",
    "/v1/configuration",
    { files: example.files },
    { "if-match": `"${baseVersion}"` },
  );
  return accepted.version;
}

/** Names of the entries that do not report `version` or a later one as in force within 5 s. */
export async function listEntriesWithoutVersion(
  entries: readonly EntryHandle[],
  version: number,
): Promise<readonly string[]> {
  const endMs = performance.now() + IN_FORCE_BOUND_MS;
  for (;;) {
    const versions = await Promise.all(
      entries.map((entry) =>
        entry.operator.get<{ readonly version: number }>("/v1/configuration")
          .then((document) => document.version, () => -1)
      ),
    );
    const missing = entries.filter((_, index) =>
      getAt(versions, index) < version
    );
    if (missing.length === 0 || performance.now() > endMs) {
      return missing.map((entry) => entry.process.name);
    }
    await pause(POLL_PERIOD_MS);
  }
}

/** Runs the load and the steps concurrently. Needs at least three entries and one runner. */
export class DemoScenario {
  readonly #options: DemoScenarioOptions;
  readonly #loadGenerator: LoadGenerator;
  readonly #domainOut: string;

  private constructor(options: DemoScenarioOptions) {
    this.#options = options;
    this.#loadGenerator = LoadGenerator.create(options.cluster.balancerPort);
    const { failureDomains } = options.example.declarations;
    this.#domainOut = getAt(failureDomains, 0).name;
  }

  static create(options: DemoScenarioOptions): DemoScenario {
    return new DemoScenario(options);
  }

  async run(): Promise<DemoEvidence> {
    const { cluster, durationMs, seed, example } = this.#options;
    const plan = planLoad({
      declarations: example.declarations,
      random: SeededRandom.create(seed),
      durationMs,
    });
    await cluster.mark("load");
    const load = this.#loadGenerator.run(plan);
    const [leavingRunner, withoutConfiguration, , kill, plannedStop] =
      await Promise.all([
        this.#markRunnerLeaving(),
        this.#applySecondTime(),
        this.#takeDomainOutAndIn(),
        this.#killEntry(),
        this.#stopEntry(),
        this.#finishLoad(load),
      ]);
    const executions = await Promise.all(cluster.runners.map(listExecutions));
    const leavingRunnerHandle = getAt(cluster.runners, 0);
    return {
      records: this.#loadGenerator.records,
      lost: this.#loadGenerator.lost,
      executions: executions.flat(),
      ledger: await cluster.readLedger(),
      domainOut: this.#domainOut,
      kill,
      plannedStop,
      leavingRunner: {
        ...leavingRunner,
        executionsAtEnd: (await listExecutions(leavingRunnerHandle)).length,
      },
      withoutConfiguration,
      open: await this.#describeOpenRequests(),
    };
  }

  /** State and wait reason of each request without a result, as `/v1/status` reports them. */
  async #describeOpenRequests(): Promise<readonly string[]> {
    const { operator } = getAt(this.#options.cluster.entries, 0);
    const open = this.#loadGenerator.records.filter(({ endedMs }) =>
      endedMs === undefined
    );
    return await Promise.all(open.map(async ({ planned }) => {
      const job = `${planned.organisation.name}/${planned.requestId}`;
      const status = await operator.get<StatusDocument>(
        `/v1/status?job=${encodeURIComponent(job)}`,
      ).catch(() => undefined);
      const { state, failureDomain, waitReason } = status?.job ?? {};
      return `${job} ${planned.service.name}: ${
        state ?? "no state reported"
      } ` +
        `in ${failureDomain ?? "-"}, waits: ${waitReason ?? "-"}`;
    }));
  }

  async #finishLoad(load: Promise<void>): Promise<void> {
    const { cluster, durationMs, logProgress } = this.#options;
    await this.#waitUntilShare(1);
    await cluster.mark("load_end");
    const open = this.#loadGenerator.records.filter(({ endedMs }) =>
      endedMs === undefined
    );
    logProgress(
      `all requests sent; waiting for ${open.length} without a result`,
    );
    const endMs = durationMs + DRAIN_MS;
    await Promise.race([load, pause(endMs - this.#loadGenerator.nowMs())]);
    this.#loadGenerator.stop();
    await Promise.race([load, pause(IN_FORCE_BOUND_MS)]);
  }

  async #markRunnerLeaving(): Promise<LeavingRunner> {
    const { cluster } = this.#options;
    const runner = getAt(cluster.runners, 0);
    const { name } = runner.process;
    await this.#waitUntilShare(STEP_SHARE.RUNNER_LEAVES);
    this.#logProgress(`${name} is marked as leaving`);
    await cluster.leave(name);
    await pause(UPSTREAM_LEAVING_BOUND_MS);
    const executionsAfterBound = (await listExecutions(runner)).length;
    return { name, executionsAfterBound, executionsAtEnd: NaN };
  }

  /** Applies through an entry that is neither killed nor stopped. */
  async #applySecondTime(): Promise<readonly string[]> {
    const { cluster, example } = this.#options;
    await this.#waitUntilShare(STEP_SHARE.SECOND_APPLY);
    const entries = [...cluster.entries];
    const version = await applyExample(example, getAt(entries, 0), 1);
    this.#logProgress(`version ${version} applied`);
    return await listEntriesWithoutVersion(entries, version);
  }

  async #takeDomainOutAndIn(): Promise<void> {
    const { cluster } = this.#options;
    const path = `/v1/failure-domains/${this.#domainOut}`;
    await this.#waitUntilShare(STEP_SHARE.DOMAIN_OUT);
    await getAt(cluster.entries, 1).operator.send("POST", `${path}/out`, {});
    await cluster.mark("out");
    this.#logProgress(`${this.#domainOut} is out of service`);
    await this.#waitUntilShare(STEP_SHARE.DOMAIN_IN);
    await cluster.mark("in");
    await getAt(cluster.entries, 0).operator.send("POST", `${path}/in`, {});
    this.#logProgress(`${this.#domainOut} is in service again`);
  }

  /** Kills one entry and starts another in its failure domain. */
  async #killEntry(): Promise<KillWindow> {
    const { cluster, example } = this.#options;
    await this.#waitUntilShare(STEP_SHARE.KILL);
    const target = getAt(cluster.entries, 1);
    const fromMs = this.#loadGenerator.nowMs();
    target.process.kill("SIGKILL");
    await target.process.ended;
    const toMs = this.#loadGenerator.nowMs();
    this.#logProgress(`${target.process.name} killed`);
    await cluster.remove(target.process.name);
    const { region } = getAt(example.declarations.failureDomains, 0);
    await cluster.startEntry(target.failureDomain, region);
    return { fromMs, toMs };
  }

  async #stopEntry(): Promise<PlannedStop> {
    const { cluster } = this.#options;
    await this.#waitUntilShare(STEP_SHARE.PLANNED_STOP);
    const { process } = getAt(cluster.entries, 2);
    this.#logProgress(`SIGTERM sent to ${process.name}`);
    process.kill("SIGTERM");
    const { code } = await process.ended;
    this.#logProgress(`${process.name} ended with ${code ?? "a signal"}`);
    await cluster.remove(process.name);
    return { entry: process.name, exitCode: code };
  }

  #waitUntilShare(share: number): Promise<void> {
    const dueMs = share * this.#options.durationMs;
    return pause(Math.max(0, dueMs - this.#loadGenerator.nowMs()));
  }

  #logProgress(line: string): void {
    const seconds = (this.#loadGenerator.nowMs() / 1_000).toFixed(1).padStart(
      5,
    );
    this.#options.logProgress(`${seconds} s  ${line}`);
  }
}
