/** The simulated cluster of one scenario: real `EntryCore`s over fakes, on one manual clock. */
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

const HEARTBEAT_PERIOD_MS = 500;
const VERSION_SAMPLE_PERIOD_MS = 100;
const EVENT_CAPACITY = 4_096;

/** One incarnation of an entry. */
interface SimulatedEntry {
  readonly core: EntryCore;
  readonly process: SimulatedProcess;
  /** Faults of this entry's calls of the table service. */
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

/** Runs the steps of one scenario and collects the evidence for the promises. */
export class SimulatedCluster {
  readonly clock = ManualClock.create();
  readonly platform: PlatformStandIn;
  readonly network: FakeNetwork;
  readonly jobs: SubmittedJob[] = [];
  readonly refusals: string[] = [];
  readonly applied: string[] = [];
  readonly #scenario: Scenario;
  readonly #random: SeededRandom;
  readonly #entries = new Map<EntryName, SimulatedEntry>();
  readonly #eventRings: EventRing[] = [];
  readonly #outPeriods: DomainOutPeriod[] = [];
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
    this.clock.every(VERSION_SAMPLE_PERIOD_MS, () => this.#sampleVersions());
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

  /** The named entry, or the first that runs. Frozen entries count as running. */
  getRunningEntry(name?: string): SimulatedEntry {
    const names = name === undefined
      ? this.listEntries()
      : [brandId<EntryName>(name)];
    const found = names.map((entry) => this.#entries.get(entry)).find((
      entry,
    ) => entry?.process.isDead === false);
    if (found === undefined) {
      throw new Error(`no running entry: ${name ?? "any"}`);
    }
    return found;
  }

  startEntry(entry: EntryName): void {
    const process = SimulatedProcess.create(this.clock);
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
      clock: process,
      random: this.#random,
      events,
      platform: createProcessPorts(this.platform.ports, process, store),
    };
    const mesh = FakeMesh.create(this.network, entry, incarnation, process);
    const address = { host: "127.0.0.1", httpPort: 1, meshPort: 1 };
    const core = EntryCore.create({ context, mesh, address });
    this.network.connect(entry, mesh);
    const heartbeat = process.every(
      HEARTBEAT_PERIOD_MS,
      () => mesh.broadcast(core.state.createHeartbeat()),
    );
    this.#eventRings.push(events);
    this.#entries.set(entry, {
      core,
      process,
      store,
      events,
      incarnation,
      heartbeat,
    });
    void core.start();
  }

  /** Ends the process at once. */
  kill(name: string): void {
    const entry = this.getRunningEntry(name);
    entry.process.kill();
    entry.heartbeat.cancel();
  }

  /** Stops the entry in a planned way. */
  async leave(name: string): Promise<void> {
    const entry = this.getRunningEntry(name);
    await entry.core.leave();
    await entry.core.stop();
    entry.process.kill();
    entry.heartbeat.cancel();
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
      throw new Error(`the scenario declares no service ${serviceName}`);
    }
    for (let index = 0; index < count; index++) {
      const requestId = brandId<RequestId>(
        `r${this.jobs.length + this.refusals.length + 1}`,
      );
      const organisationName = brandId<OrganisationName>(organisation);
      const outcome = await this.getRunningEntry(entry).core.jobApi.submit({
        organisation: organisationName,
        requestId,
        service: brandId<ServiceName>(serviceName),
        bodyDigest: brandId<Digest>(requestId),
        payload: JSON.stringify({ run_ms: service.run_ms, id: requestId }),
      });
      if (outcome.kind === "refused") this.refusals.push(outcome.resultName);
      else {this.jobs.push({
          jobId: outcome.jobId,
          service,
          organisation: organisationName,
          requestId,
        });}
    }
  }

  async cancelAll(): Promise<void> {
    const { jobApi: api } = this.getRunningEntry().core;
    await Promise.all(
      this.jobs.map((job) => api.cancel(job.organisation, job.requestId)),
    );
  }

  /** Puts a failure domain in or out of service and records the period out of service. */
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
      this.#outPeriods.push({
        failureDomain,
        fromMs: this.clock.nowMs(),
        toMs: Number.POSITIVE_INFINITY,
      });
      return;
    }
    const openIndex = this.#outPeriods.findIndex((period) =>
      period.failureDomain === name && period.toMs === Number.POSITIVE_INFINITY
    );
    const period = this.#outPeriods[openIndex];
    if (period !== undefined) {
      this.#outPeriods[openIndex] = { ...period, toMs: this.clock.nowMs() };
    }
  }

  /** Applies the scenario's declarations with `weight` for the organisations. */
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

  /** Reads the final state of each job through a running entry, as its caller would. */
  async collectEvidence(): Promise<ScenarioEvidence> {
    const { jobApi: api } = this.getRunningEntry().core;
    const records: FinalJobState[] = [];
    for (const job of this.jobs) {
      const lookup = await api.get(job.organisation, job.requestId);
      const state = lookup.kind === "found" ? lookup.status.state : lookup.kind;
      const { idempotent, can_checkpoint: canCheckpoint } = job.service;
      records.push({ jobId: job.jobId, idempotent, canCheckpoint, state });
    }
    return {
      endMs: this.clock.nowMs(),
      runs: this.platform.readLedger().runs,
      domainOutPeriods: this.#outPeriods,
      versions: this.#versions,
      jobs: records,
      everyJobEnds: this.#scenario.expect.every_job_ends,
    };
  }

  /** Events of all incarnations in order of time, to find the cause of a failed scenario. */
  listEvents(): readonly string[] {
    return this.#eventRings
      .flatMap((ring) => ring.list())
      .sort((left, right) => left.atMs - right.atMs)
      .map(({ atMs, process, event, subject, detail }) =>
        `${atMs} ${process} ${event} ${JSON.stringify(subject)} ${detail ?? ""}`
      );
  }

  #sampleVersions(): void {
    for (const entry of this.#entries.values()) {
      const version = entry.core.state.configuration.current()?.version;
      if (version === undefined || entry.process.isDead) continue;
      this.#versions.push({ entry: entry.incarnation, version });
    }
  }
}
