/** The deployment of one scenario: real controllers of every entry over fakes, one manual clock. */
import {
  brandId,
  createUniqueId,
  type Digest,
  type EntryName,
  EventRing,
  type FailureDomainName,
  type Incarnation,
  ManualClock,
  type OrganisationName,
  type RegionName,
  type RequestId,
  SeededRandom,
  type ServiceName,
  type Timer,
} from "@coltsfootpond/common";
import { type EntryContext, EntryCore } from "@coltsfootpond/node";
import { FaultInjector } from "@coltsfootpond/ports";
import { PlatformStandIn } from "@coltsfootpond/stand-ins";
import { createDeclarations, listDomains, listWorkers } from "./deployment.ts";
import {
  createProcessPorts,
  FakeMesh,
  FakeNetwork,
  SimulatedProcess,
} from "./fakes.ts";
import type { Scenario, ScenarioService } from "./scenario_schema.ts";
import type {
  DomainOutPeriod,
  FinalJobState,
  ScenarioEvidence,
  VersionSample,
} from "./promises.ts";

const HEARTBEAT_MS = 500;
const SAMPLE_MS = 100;
const EVENT_CAPACITY = 4_096;

interface SimulatedEntry {
  readonly core: EntryCore;
  readonly gate: SimulatedProcess;
  readonly store: FaultInjector;
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
export class SimulatedCluster {
  readonly clock = ManualClock.create();
  readonly platform: PlatformStandIn;
  readonly network: FakeNetwork;
  readonly jobs: SubmittedJob[] = [];
  readonly refusals: string[] = [];
  readonly applied: string[] = [];
  readonly #scenario: Scenario;
  readonly #random: SeededRandom;
  readonly #processes = new Map<EntryName, SimulatedEntry>();
  readonly #pastEvents: EventRing[] = [];
  readonly #outSpans: DomainOutPeriod[] = [];
  readonly #versions: VersionSample[] = [];

  private constructor(scenario: Scenario) {
    this.#scenario = scenario;
    this.#random = SeededRandom.create(scenario.seed);
    this.platform = PlatformStandIn.create({
      clock: this.clock,
      random: this.#random,
    });
    this.network = FakeNetwork.create(this.clock);
    for (const failureDomain of listDomains(this.#scenario)) {
      this.platform.fleet.declare({
        failureDomain,
        workers: listWorkers(this.#scenario, failureDomain),
      });
    }
    this.clock.every(SAMPLE_MS, () => this.#sampleVersions());
  }

  static create(scenario: Scenario): SimulatedCluster {
    return new SimulatedCluster(scenario);
  }

  listEntries(): readonly EntryName[] {
    const count = this.#scenario.topology.entries;
    return Array.from(
      { length: count },
      (_unused, index) => brandId<EntryName>(`entry-${index + 1}`),
    );
  }

  /** An entry that runs, the named one or the first. */
  getRunningEntry(name?: string): SimulatedEntry {
    const names = name === undefined
      ? this.listEntries()
      : [brandId<EntryName>(name)];
    const found = names.map((entry) => this.#processes.get(entry)).find((
      process,
    ) => process?.gate.isDead === false);
    if (found === undefined) {
      throw new Error(`no such entry runs: ${name ?? "any"}`);
    }
    return found;
  }

  startEntry(entry: EntryName): void {
    const gate = SimulatedProcess.create(this.clock);
    const store = FaultInjector.create(this.clock);
    const incarnation = brandId<Incarnation>(`${entry}/${createUniqueId()}`);
    const index = this.listEntries().indexOf(entry);
    const domains = listDomains(this.#scenario);
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
        region: brandId<RegionName>("region"),
        failureDomain: domains[index % domains.length]!,
      },
      clock: gate,
      random: this.#random,
      events,
      platform: createProcessPorts(this.platform.ports, gate, store),
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
    const process = this.getRunningEntry(name);
    process.gate.kill();
    process.heartbeat.cancel();
  }

  async leave(name: string): Promise<void> {
    const process = this.getRunningEntry(name);
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
      const requestId = brandId<RequestId>(
        `r${this.jobs.length + this.refusals.length + 1}`,
      );
      const owner = brandId<OrganisationName>(organisation);
      const outcome = await this.getRunningEntry(entry).core.jobApi.submit({
        organisation: owner,
        requestId,
        service: brandId<ServiceName>(serviceName),
        bodyDigest: brandId<Digest>(requestId),
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
    const { jobApi: front } = this.getRunningEntry().core;
    await Promise.all(
      this.jobs.map((job) => front.cancel(job.organisation, job.requestId)),
    );
  }

  async changeDomain(
    name: string,
    state: "in" | "out",
    entry?: string,
  ): Promise<void> {
    const failureDomain = brandId<FailureDomainName>(name);
    const outcome = await this.getRunningEntry(entry).core.state.failureDomains
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
    const { configuration } = this.getRunningEntry(entry).core.state;
    const files = [{
      name: "all.toml",
      text: createDeclarations(this.#scenario, weight),
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
  async close(): Promise<ScenarioEvidence> {
    const { jobApi: front } = this.getRunningEntry().core;
    const records: FinalJobState[] = [];
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

  #sampleVersions(): void {
    for (const process of this.#processes.values()) {
      const version = process.core.state.configuration.current()?.version;
      if (version === undefined || process.gate.isDead) continue;
      this.#versions.push({ entry: process.incarnation, version });
    }
  }
}
