/** A store, workers and schedulers on one manual clock, for the tests of the cell. */
import {
  brandId,
  ManualClock,
  SeededRandom,
  type ServiceName,
  type Timer,
  type WorkerAddress,
  type WorkerName,
} from "@coltsfootpond/common";
import type { CellJobSpec, TaskName } from "@coltsfootpond/policy";
import type {
  CellSettings,
  DeclaredState,
  RecordDecoder,
  StateRow,
  StateStore,
  WorkerPort,
  WorkerTarget,
} from "@coltsfootpond/ports";
import { CellScheduler } from "./cell_scheduler.ts";
import { DeclaredStateTracker } from "./declared_state_tracker.ts";
import { type CellLog, SILENT_LOG } from "./log.ts";
import {
  decodeRow,
  encodeRow,
  jobKey,
  type JobRow,
  pickOrigin,
  progressKey,
} from "./rows.ts";
import { SeenVersion, TableFollower } from "./table_follower.ts";
import { createStoreFake, type StoreFake } from "./test_fixtures.ts";
import { VmFake } from "./fakes/vm_fake.ts";
import { isUsableAddress } from "./fakes/worker_addresses.ts";
import { createWorkerPortFake } from "./fakes/worker_port_fake.ts";
import { WorkerTableFake } from "./fakes/worker_table_fake.ts";
import { type RunHistory, WorkerFake } from "./workers_fake.ts";

/** Bounds of the simulated deployment, in milliseconds. */
export const SIMULATION_BOUNDS = {
  leaseMaximumMs: 6_000,
  stopLimitMs: 200,
  shutdownGraceMs: 6_000,
  endedJobRetentionMs: 20_000,
} as const;

/** Period of the workers' checks for expired leases and due heartbeats. */
const WORKER_CHECK_PERIOD_MS = 10;

const DECLARED_STATE_KEY = "declared";
/** The service of the simulated workers and of the jobs. */
export const SIMULATED_SERVICE = brandId<ServiceName>("service");
const ONLY_SERVICE_DECLARED: DeclaredState = {
  version: 1,
  queues: [],
  organisationByApiKey: new Map(),
  guarantees: [],
  shares: [],
  services: new Set([SIMULATED_SERVICE]),
  capacityEnforcingServices: new Set(),
  limits: {
    headerBytes: 8_192,
    bodyBytes: 65_536,
    headerTimeoutMs: 5_000,
    keepAliveMs: 5_000,
  },
};

/** A simulated cell. */
export class CellSimulation {
  readonly clock = ManualClock.create();
  readonly store: StoreFake = createStoreFake();
  readonly history: RunHistory[] = [];
  readonly workers = new Map<WorkerName, WorkerFake>();
  /** Of the schedulers that are started from now on. */
  log: CellLog = SILENT_LOG;
  /** Reads of the workers' records get no answer. */
  isDirectoryUnavailable = false;
  /** Schedulers that are started from now on read no declared state until the next version. */
  isDeclaredStateUnknown = false;
  /** Changes the calls to workers of the schedulers that are started from now on. */
  wrapWorkerPort: (port: WorkerPort) => WorkerPort = (port) => port;
  /** Time until the answer to a read of the workers' records arrives. */
  directoryDelayMs = 0;
  /** Called after each start that a worker carries out. */
  readonly startListeners: ((worker: WorkerFake, task: TaskName) => void)[] =
    [];
  /** In force on all schedulers. */
  #declared = ONLY_SERVICE_DECLARED;
  readonly #operatorFollowers = new Set<TableFollower>();
  /** The rows of the workers' table. */
  readonly workerTable = WorkerTableFake.create({
    workers: this.workers,
    isDeclared: (service) => this.#declared.services.has(service),
  });
  /** Calls to targets that no usable record has named before. */
  readonly unnamedCalls: string[] = [];
  /** Number of calls by target, as `{worker} {address}`. */
  readonly callsByTarget = new Map<string, number>();
  readonly #refreshTimers = new Map<CellScheduler, Timer>();
  #epoch = 0;

  private constructor() {}

  static create(workerNames: readonly string[]): CellSimulation {
    const simulation = new CellSimulation();
    workerNames.forEach((name) => simulation.addWorker(name));
    simulation.clock.every(
      WORKER_CHECK_PERIOD_MS,
      () =>
        simulation.workers.forEach((worker) => {
          worker.expireLease();
          worker.endFinished();
          worker.writeHeartbeat();
        }),
    );
    return simulation;
  }

  /** Declares a next version with these shares; all schedulers read it at once. */
  declareShares(shares: DeclaredState["shares"]): void {
    this.#declare({ shares });
  }

  /** Declares a next version with these organisations; all schedulers read it at once. */
  declareOrganisations(
    organisations: Pick<
      DeclaredState,
      "organisationByApiKey" | "guarantees" | "shares"
    >,
  ): void {
    this.#declare(organisations);
  }

  /** Declares a next version with these services; all schedulers read it at once. */
  declareServices(services: readonly ServiceName[]): void {
    this.#declare({ services: new Set(services) });
  }

  /** Declares a next version with these queues; all schedulers read it at once. */
  declareQueues(queues: DeclaredState["queues"]): void {
    this.#declare({ queues });
  }

  #declare(changes: Partial<DeclaredState>): void {
    const version = this.#declared.version + 1;
    this.#declared = { ...this.#declared, ...changes, version };
    this.workerTable.applyDeclaredServices();
    for (const follower of this.#operatorFollowers) {
      follower.apply([this.#createDeclaredRow()]);
    }
  }

  #createDeclaredRow(): StateRow {
    const { version } = this.#declared;
    return { key: DECLARED_STATE_KEY, version, value: new Uint8Array(0) };
  }

  /** Adds a worker, by default at an address of its own. */
  addWorker(name: string, address?: string): WorkerFake {
    const worker = WorkerFake.create(
      name,
      this.clock,
      this.history,
      SIMULATION_BOUNDS.leaseMaximumMs,
      address,
    );
    worker.onStarted = (task) =>
      this.startListeners.forEach((listener) => listener(worker, task));
    const { worker: workerName } = worker.record;
    worker.onRecordWritten = () => this.workerTable.dropOddRow(workerName);
    this.workers.set(workerName, worker);
    this.workerTable.dropOddRow(workerName);
    return worker;
  }

  get(name: string): WorkerFake {
    return this.workers.get(name as WorkerName)!;
  }

  /** Stores the job's row, as an entry does for a caller. */
  async submit(spec: CellJobSpec): Promise<void> {
    await this.store.transact({
      conditions: [],
      puts: [{
        key: jobKey(spec.jobId),
        value: encodeRow({ kind: "live", spec }),
      }],
      deletes: [],
    }, 1);
  }

  /** Stores the end of the job, as an entry does for a caller who cancels it. */
  async cancel(spec: CellJobSpec): Promise<void> {
    const { jobId } = spec;
    const value = encodeRow({
      ...pickOrigin(spec),
      kind: "ended",
      state: "cancelled",
      endedUnixMs: this.clock.nowMs(),
    });
    await this.store.transact({
      conditions: [],
      puts: [{ key: jobKey(jobId), value }],
      deletes: [],
    }, 1);
  }

  /** Deletes the job's stored progress; the workers still list the ends. */
  async deleteProgress(spec: CellJobSpec): Promise<void> {
    await this.store.transact({
      conditions: [],
      puts: [],
      deletes: [progressKey(spec.jobId)],
    }, 1);
  }

  /** The job's row in the store. */
  readJob(spec: Pick<CellJobSpec, "jobId">): JobRow | undefined {
    const row = this.store.rows().get(jobKey(spec.jobId));
    return row?.value && decodeRow<JobRow>(row.value);
  }

  /**
   * Starts a scheduler with the next epoch. Stopping it leaves the workers as they are; it stops by
   * itself when it finds signs of a newer holder.
   */
  startScheduler(
    canAct: () => boolean = () => true,
    onStopped: () => void = () => {},
    vm = VmFake.create({
      clock: this.clock,
      startMs: this.clock.nowMs(),
      rate: 1,
      unixErrorMs: 0,
    }),
  ): CellScheduler {
    const { log } = this;
    const clock = vm;
    const store = this.#createStoreOf(vm);
    const common = {
      store,
      clock,
      random: SeededRandom.create(1),
      seen: SeenVersion.create(),
      log,
    };
    const follower = TableFollower.create({ table: "state", ...common });
    const operators = TableFollower.create({
      table: "operators",
      ...common,
      // Versions of the declared state are not those of the store.
      seen: SeenVersion.create(),
    });
    const recordDecoder = this.#createRecordDecoder();
    const declared = DeclaredStateTracker.create({
      follower: operators,
      recordDecoder,
      log,
    });
    this.#operatorFollowers.add(operators);
    if (!this.isDeclaredStateUnknown) {
      operators.apply([this.#createDeclaredRow()]);
    }
    const scheduler = CellScheduler.create({
      epoch: ++this.#epoch,
      acquiredVersion: Math.max(
        0,
        ...[...this.store.rows().values()].map(({ version }) => version),
      ),
      settings: {
        workerHeartbeatMs: 1_500,
        rowLimitBytes: 65_536,
        bounds: SIMULATION_BOUNDS,
      } as CellSettings,
      store,
      workerPort: this.#createWorkerPortOf(vm),
      recordDecoder,
      follower,
      declared,
      clock,
      nowUnixMs: () => vm.nowUnixMs(),
      log,
      canAct,
      onNewerHolder: () => {
        this.stopScheduler(scheduler);
        onStopped();
      },
      onRoundFailed: () => {},
    });
    const refresh = clock.every(10, () => void this.#refresh(follower, vm));
    this.#refreshTimers.set(scheduler, refresh);
    void scheduler.start();
    return scheduler;
  }

  /** Stops a scheduler and the reads of its copy of the state table. */
  stopScheduler(scheduler: CellScheduler): void {
    scheduler.stop();
    this.#refreshTimers.get(scheduler)?.cancel();
  }

  /** Number of runs during which another run of the same task was started. */
  countOverlaps(): number {
    return this.history.filter((run, position) =>
      this.history.some((other, otherPosition) =>
        otherPosition > position && other.task === run.task &&
        other.startedMs < (run.endedMs ?? Infinity)
      )
    ).length;
  }

  /** All recorded runs of a task. */
  runsOf(task: string): readonly RunHistory[] {
    return this.history.filter((run) => run.task === task as TaskName);
  }

  #createStoreOf(vm: VmFake): StateStore {
    const { store } = this;
    return {
      transact: (...call) => vm.receive(store.transact(...call)),
      read: (...call) => vm.receive(this.#read(...call)),
      follow: (...call) => vm.receive(store.follow(...call)),
    };
  }

  #createWorkerPortOf(vm: VmFake): WorkerPort {
    const port = createWorkerPortFake(this.workers, this.clock);
    return this.wrapWorkerPort({
      start: (target, ...call) => {
        this.#recordCall(target);
        return vm.receive(port.start(target, ...call));
      },
      stop: (target, ...call) => {
        this.#recordCall(target);
        return vm.receive(port.stop(target, ...call));
      },
      renew: (target, ...call) => {
        this.#recordCall(target);
        return vm.receive(port.renew(target, ...call));
      },
      forget: (target) => port.forget(target),
    });
  }

  #recordCall(target: WorkerTarget): void {
    const description = `${target.worker} ${target.address}`;
    const calls = this.callsByTarget.get(description) ?? 0;
    this.callsByTarget.set(description, calls + 1);
    if (calls > 0 || this.workerTable.hasNamed(target)) return;
    this.unnamedCalls.push(description);
  }

  async #refresh(follower: TableFollower, vm: VmFake): Promise<void> {
    const outcome = await vm.receive(this.store.read("state", {}, 1));
    if (outcome.kind === "rows") follower.apply(outcome.rows);
  }

  async #read(...[table, range, timeoutMs]: Parameters<StoreFake["read"]>) {
    if (table !== "workers") {
      return await this.store.read(table, range, timeoutMs);
    }
    const rows = this.workerTable.createRows();
    if (this.isDirectoryUnavailable) {
      return { kind: "unavailable", effect: "lost", reason: "test" } as const;
    }
    if (this.directoryDelayMs > 0) {
      await this.clock.sleep(this.directoryDelayMs);
    }
    return { kind: "rows", rows, version: 1 } as const;
  }

  #createRecordDecoder(): RecordDecoder {
    return {
      decodeDeclaredState: () => this.#declared,
      decodeWorker: (key, value) => {
        const row = this.workerTable.decode(key, value);
        return row.kind === "record"
          ? row
          : { kind: "unusable", field: "value", expected: "a record" };
      },
      decodeWorkerTarget: (name, address) =>
        typeof name === "string" && typeof address === "string" &&
          isUsableAddress(address)
          ? {
            worker: brandId<WorkerName>(name),
            address: brandId<WorkerAddress>(address),
          }
          : undefined,
      classifyOperatorRow: () => ({ kind: "declared_state" }),
    };
  }
}
