/** A store, workers and schedulers on one manual clock, for the tests of the cell. */
import {
  ManualClock,
  SeededRandom,
  type WorkerName,
} from "@coltsfootpond/common";
import type { CellJobSpec, TaskName } from "@coltsfootpond/policy";
import type { CellSettings, RecordDecoder } from "@coltsfootpond/ports";
import { CellScheduler } from "./cell_scheduler.ts";
import { DeclaredStateTracker } from "./declared_state_tracker.ts";
import { SILENT_LOG } from "./log.ts";
import {
  decodeRow,
  encodeRow,
  jobKey,
  type JobRow,
  progressKey,
} from "./rows.ts";
import { SeenVersion, TableFollower } from "./table_follower.ts";
import { createStoreFake, type StoreFake } from "./test_fixtures.ts";
import {
  createWorkerPortFake,
  type RunHistory,
  WorkerFake,
} from "./workers_fake.ts";

/** Bounds of the simulated deployment, in milliseconds. */
export const SIMULATION_BOUNDS = {
  leaseMaximumMs: 6_000,
  stopLimitMs: 200,
  shutdownGraceMs: 6_000,
  endedJobRetentionMs: 20_000,
} as const;

/** Period of the workers' checks for expired leases and due heartbeats. */
const WORKER_CHECK_PERIOD_MS = 10;

/** A simulated cell. */
export class CellSimulation {
  readonly clock = ManualClock.create();
  readonly store: StoreFake = createStoreFake();
  readonly history: RunHistory[] = [];
  readonly workers = new Map<WorkerName, WorkerFake>();
  #epoch = 0;

  private constructor() {}

  static create(workerNames: readonly string[]): CellSimulation {
    const simulation = new CellSimulation();
    for (const name of workerNames) {
      const worker = WorkerFake.create(
        name,
        simulation.clock,
        simulation.history,
        SIMULATION_BOUNDS.leaseMaximumMs,
      );
      simulation.workers.set(worker.record.worker, worker);
    }
    simulation.clock.every(
      WORKER_CHECK_PERIOD_MS,
      () =>
        simulation.workers.forEach((worker) => {
          worker.expireLease();
          worker.writeHeartbeat();
        }),
    );
    return simulation;
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

  /** Deletes the job's stored progress; the workers still list the ends. */
  async deleteProgress(spec: CellJobSpec): Promise<void> {
    await this.store.transact({
      conditions: [],
      puts: [],
      deletes: [progressKey(spec.jobId)],
    }, 1);
  }

  /** The job's row in the store. */
  readJob(spec: CellJobSpec): JobRow | undefined {
    const row = this.store.rows().get(jobKey(spec.jobId));
    return row?.value && decodeRow<JobRow>(row.value);
  }

  /** Starts a scheduler with the next epoch. Stopping it leaves the workers as they are. */
  startScheduler(canAct: () => boolean = () => true): CellScheduler {
    const { clock, store } = this;
    const common = {
      store,
      clock,
      random: SeededRandom.create(1),
      seen: SeenVersion.create(),
      log: SILENT_LOG,
    };
    const follower = TableFollower.create({ table: "state", ...common });
    const operators = TableFollower.create({ table: "operators", ...common });
    const recordDecoder = this.#createRecordDecoder();
    const scheduler = CellScheduler.create({
      epoch: ++this.#epoch,
      acquiredVersion: Math.max(
        0,
        ...[...store.rows().values()].map(({ version }) => version),
      ),
      settings: {
        workerHeartbeatMs: 1_500,
        bounds: SIMULATION_BOUNDS,
      } as CellSettings,
      store: { ...store, read: (table, ...rest) => this.#read(table, ...rest) },
      workerPort: createWorkerPortFake(this.workers, clock),
      recordDecoder,
      follower,
      declared: DeclaredStateTracker.create({
        follower: operators,
        recordDecoder,
        log: SILENT_LOG,
      }),
      clock,
      nowUnixMs: () => clock.nowMs(),
      log: SILENT_LOG,
      canAct,
      onNewerHolder: () => scheduler.stop(),
    });
    clock.every(10, () => void this.#refresh(follower));
    void scheduler.start();
    return scheduler;
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

  async #refresh(follower: TableFollower): Promise<void> {
    const outcome = await this.store.read("state", {}, 1);
    if (outcome.kind === "rows") follower.apply(outcome.rows);
  }

  #read(...[table, range, timeoutMs]: Parameters<StoreFake["read"]>) {
    if (table !== "workers") return this.store.read(table, range, timeoutMs);
    const rows = [...this.workers].filter(([, { storedRecord }]) =>
      storedRecord !== undefined
    ).map(([key]) => ({ key, version: 1, value: new Uint8Array(0) }));
    return Promise.resolve({ kind: "rows", rows, version: 1 } as const);
  }

  #createRecordDecoder(): RecordDecoder {
    return {
      decodeDeclaredState: () => undefined,
      decodeWorker: (key) => {
        const { isRecordUnreadable, storedRecord } = this.get(key);
        return isRecordUnreadable ? undefined : storedRecord;
      },
      classifyOperatorRow: () => ({ kind: "other" }),
    };
  }
}
