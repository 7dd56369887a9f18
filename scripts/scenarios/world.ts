/** The deployment of one scenario: real controllers of every entry over fakes, one manual clock. */
import { createHash } from "node:crypto";
import {
  createId,
  createUniqueId,
  type Digest,
  type EntryName,
  EventRing,
  type FailureDomainName,
  type Incarnation,
  ManualClock,
  MS_PER_SECOND,
  type OrganisationName,
  type RackName,
  type RegionName,
  type RequestId,
  SeededRandom,
  type ServiceName,
  type Timer,
  type WorkerName,
} from "@coltsfootpond/common";
import { type EntryContext, EntryCore } from "@coltsfootpond/node";
import { FaultSwitch } from "@coltsfootpond/platform";
import { PlatformStandIn } from "@coltsfootpond/stand-ins";
import { stringify } from "smol-toml";
import {
  createGatedPorts,
  FakeMesh,
  FakeNetwork,
  ProcessGate,
} from "./fakes.ts";
import type { Scenario, ScenarioService } from "./language.ts";
import type {
  JobRecord,
  OutSpan,
  ScenarioLedger,
  VersionSample,
} from "./promises.ts";

const HEARTBEAT_MS = 500;
const SAMPLE_MS = 100;
const WORKER_RESOURCES = {
  milliprocessors: 130_000,
  memoryMib: 500_000,
  accelerators: 8,
};
const EVENT_CAPACITY = 4_096;

interface EntryProcess {
  readonly core: EntryCore;
  readonly gate: ProcessGate;
  readonly store: FaultSwitch;
  readonly events: EventRing;
  readonly incarnation: Incarnation;
  readonly heartbeat: Timer;
}

interface SubmittedJob {
  readonly jobId: string;
  readonly service: ScenarioService;
  readonly organisation: OrganisationName;
  readonly requestId: RequestId;
}

/** A running scenario. */
export class ScenarioWorld {
  readonly clock = ManualClock.create();
  readonly platform: PlatformStandIn;
  readonly network: FakeNetwork;
  readonly jobs: SubmittedJob[] = [];
  readonly refusals: string[] = [];
  readonly applied: string[] = [];
  readonly #scenario: Scenario;
  readonly #random: SeededRandom;
  readonly #processes = new Map<EntryName, EntryProcess>();
  readonly #pastEvents: EventRing[] = [];
  readonly #outSpans: OutSpan[] = [];
  readonly #versions: VersionSample[] = [];

  private constructor(scenario: Scenario) {
    this.#scenario = scenario;
    this.#random = SeededRandom.create(scenario.seed);
    this.platform = PlatformStandIn.create({
      clock: this.clock,
      random: this.#random,
    });
    this.network = FakeNetwork.create(this.clock);
    for (const failureDomain of this.#listDomains()) {
      this.platform.fleet.declare({
        failureDomain,
        workers: this.#listWorkers(failureDomain),
      });
    }
    this.clock.every(SAMPLE_MS, () => this.#sampleVersions());
  }

  static create(scenario: Scenario): ScenarioWorld {
    return new ScenarioWorld(scenario);
  }

  listEntries(): readonly EntryName[] {
    const count = this.#scenario.topology.entries;
    return Array.from(
      { length: count },
      (_unused, index) => createId<EntryName>(`entry-${index + 1}`),
    );
  }

  /** An entry that runs, the named one or the first. */
  getProcess(name?: string): EntryProcess {
    const names = name === undefined
      ? this.listEntries()
      : [createId<EntryName>(name)];
    const found = names.map((entry) => this.#processes.get(entry)).find((
      process,
    ) => process?.gate.isDead === false);
    if (found === undefined) {
      throw new Error(`no such entry runs: ${name ?? "any"}`);
    }
    return found;
  }

  startEntry(entry: EntryName): void {
    const gate = ProcessGate.create(this.clock);
    const store = FaultSwitch.create(this.clock);
    const incarnation = createId<Incarnation>(`${entry}/${createUniqueId()}`);
    const index = this.listEntries().indexOf(entry);
    const domains = this.#listDomains();
    const events = EventRing.create({
      clock: this.clock,
      process: entry,
      incarnation,
      capacity: EVENT_CAPACITY,
    });
    const context: EntryContext = {
      identity: {
        entry,
        incarnation,
        region: createId<RegionName>("region"),
        failureDomain: domains[index % domains.length]!,
      },
      clock: gate,
      random: this.#random,
      events,
      platform: createGatedPorts(this.platform.ports, gate, store),
    };
    const mesh = FakeMesh.create(this.network, entry, incarnation, gate);
    const address = { host: "127.0.0.1", httpPort: 1, meshPort: 1 };
    const core = EntryCore.create({ context, mesh, address });
    this.network.join(entry, mesh);
    const heartbeat = gate.every(
      HEARTBEAT_MS,
      () => mesh.broadcast(core.state.createHeartbeat()),
    );
    this.#pastEvents.push(events);
    this.#processes.set(entry, {
      core,
      gate,
      store,
      events,
      incarnation,
      heartbeat,
    });
    void core.start();
  }

  kill(name: string): void {
    const process = this.getProcess(name);
    process.gate.kill();
    process.heartbeat.cancel();
  }

  async leave(name: string): Promise<void> {
    const process = this.getProcess(name);
    await process.core.leave();
    await process.core.stop();
    process.gate.kill();
    process.heartbeat.cancel();
  }

  async submit(
    serviceName: string,
    organisation: string,
    count: number,
    entry?: string,
  ): Promise<void> {
    const service = this.#scenario.services.find((candidate) =>
      candidate.name === serviceName
    );
    if (service === undefined) {
      throw new Error(`unknown service ${serviceName}`);
    }
    for (let index = 0; index < count; index++) {
      const requestId = createId<RequestId>(
        `r${this.jobs.length + this.refusals.length + 1}`,
      );
      const owner = createId<OrganisationName>(organisation);
      const outcome = await this.getProcess(entry).core.front.submit({
        organisation: owner,
        requestId,
        service: createId<ServiceName>(serviceName),
        bodyDigest: createId<Digest>(requestId),
        payload: JSON.stringify({ run_ms: service.run_ms, id: requestId }),
      });
      if (outcome.kind === "refused") this.refusals.push(outcome.resultName);
      else {this.jobs.push({
          jobId: outcome.jobId,
          service,
          organisation: owner,
          requestId,
        });}
    }
  }

  async cancelAll(): Promise<void> {
    const { front } = this.getProcess().core;
    await Promise.all(
      this.jobs.map((job) => front.cancel(job.organisation, job.requestId)),
    );
  }

  async changeDomain(
    name: string,
    state: "in" | "out",
    entry?: string,
  ): Promise<void> {
    const failureDomain = createId<FailureDomainName>(name);
    const outcome = await this.getProcess(entry).core.state.failureDomains
      .change({ failureDomain, state });
    this.applied.push(`${name} ${state}: ${outcome.kind}`);
    if (outcome.kind !== "changed") return;
    if (state === "out") {
      this.#outSpans.push({
        failureDomain,
        fromMs: this.clock.nowMs(),
        toMs: Number.POSITIVE_INFINITY,
      });
      return;
    }
    const open = this.#outSpans.findIndex((span) =>
      span.failureDomain === name && span.toMs === Number.POSITIVE_INFINITY
    );
    const span = this.#outSpans[open];
    if (span !== undefined) {
      this.#outSpans[open] = { ...span, toMs: this.clock.nowMs() };
    }
  }

  /** Applies the scenario's declarations, with the organisations' weight as the change. */
  async apply(entry: string | undefined, weight: number): Promise<void> {
    const { configuration } = this.getProcess(entry).core.state;
    const files = [{
      name: "all.toml",
      text: this.#createDeclarations(weight),
    }];
    const outcome = await configuration.apply({
      files,
      baseVersion: configuration.current()?.version ?? 0,
    });
    const result = outcome.kind === "accepted"
      ? `accepted ${outcome.head.version}`
      : outcome.resultName;
    this.applied.push(`apply at ${entry ?? "any"}: ${result}`);
  }

  /** What callers see of each job at the end. */
  async close(): Promise<ScenarioLedger> {
    const { front } = this.getProcess().core;
    const records: JobRecord[] = [];
    for (const job of this.jobs) {
      const lookup = await front.get(job.organisation, job.requestId);
      const state = lookup.kind === "found" ? lookup.status.state : lookup.kind;
      const { idempotent, can_checkpoint: canCheckpoint } = job.service;
      records.push({ jobId: job.jobId, idempotent, canCheckpoint, state });
    }
    return {
      endMs: this.clock.nowMs(),
      runs: this.platform.readLedger().runs,
      outSpans: this.#outSpans,
      versions: this.#versions,
      jobs: records,
      everyJobEnds: this.#scenario.expect.every_job_ends,
    };
  }

  /** Events of all entries in order of time, for reading a failed scenario. */
  listEvents(): readonly string[] {
    return this.#pastEvents
      .flatMap((ring) => ring.list())
      .sort((left, right) => left.atMs - right.atMs)
      .map(({ atMs, process, event, subject, detail }) =>
        `${atMs} ${process} ${event} ${JSON.stringify(subject)} ${detail ?? ""}`
      );
  }

  #listDomains(): readonly FailureDomainName[] {
    const count = this.#scenario.topology.failure_domains;
    return Array.from(
      { length: count },
      (_unused, index) => createId<FailureDomainName>(`domain-${index + 1}`),
    );
  }

  #listWorkers(failureDomain: FailureDomainName) {
    const { racks_per_domain: racks, workers_per_rack: workers } =
      this.#scenario.topology;
    return Array.from({ length: racks * workers }, (_unused, index) => ({
      name: createId<WorkerName>(`${failureDomain}-w${index + 1}`),
      rack: createId<RackName>(
        `${failureDomain}-r${Math.floor(index / workers) + 1}`,
      ),
      resources: WORKER_RESOURCES,
    }));
  }

  #sampleVersions(): void {
    for (const process of this.#processes.values()) {
      const version = process.core.state.configuration.current()?.version;
      if (version === undefined || process.gate.isDead) continue;
      this.#versions.push({ entry: process.incarnation, version });
    }
  }

  #createDeclarations(weight: number): string {
    const perTask = (accelerators: number) => ({
      milliprocessors: 1_000,
      memory_mib: 1_000,
      accelerators,
    });
    const { services } = this.#scenario;
    const quota = {
      milliprocessors: 100_000_000,
      memory_mib: 100_000_000,
      accelerators: 100_000,
    };
    const organisations = ["org-1", "org-2"].map((name) => ({
      name,
      token_digest: createHash("sha256").update(name).digest("hex"),
      weight,
      quota,
      requests_per_second: 1_000,
      concurrent_requests: 1_000,
      queued_jobs: 100_000,
    }));
    return stringify({
      operator_token_digests: [
        createHash("sha256").update("operator").digest("hex"),
      ],
      organisations,
      services: services.map((service) => ({
        name: service.name,
        kind: "job",
        idempotent: service.idempotent,
        maximum_body_bytes: 65_536,
        priority: service.urgent ? "urgent" : "normal",
        expected_run_ms: service.run_ms,
        maximum_run_ms: service.run_ms * 100 + 60 * MS_PER_SECOND,
        can_checkpoint: service.can_checkpoint,
        checkpoint_ms: 1_000,
        shape: {
          tasks: service.tasks,
          adjacency: "rack",
          per_task: perTask(service.accelerators),
        },
      })),
      failure_domains: this.#listDomains().map((name) => ({
        name,
        region: "region",
        drain_ms: 2_000,
        racks: this.#createRacks(name),
      })),
    });
  }

  #createRacks(failureDomain: FailureDomainName) {
    const workers = this.#listWorkers(failureDomain);
    const { milliprocessors, memoryMib, accelerators } = WORKER_RESOURCES;
    const resources = { milliprocessors, memory_mib: memoryMib, accelerators };
    return [...new Set(workers.map((worker) => worker.rack))].map((rack) => ({
      name: rack,
      workers: workers.filter((worker) => worker.rack === rack).map((
        { name },
      ) => ({ name, resources })),
    }));
  }
}
