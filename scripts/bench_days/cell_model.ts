/**
 * Simulates the workers of a cell on a manual clock: runs what a policy places and gives the policy
 * the same view of the workers that the lease holder has. How slow workers, an outage of a failure
 * domain and runs across racks behave is an assumption of this model.
 */
import {
  brandId,
  type Clock,
  type FailureDomainName,
  nextInteger,
  type RackName,
  SeededRandom,
  type WorkerName,
} from "@coltsfootpond/common";
import type { CellResources, WorkerView } from "@coltsfootpond/policy";
import {
  type TaskRun,
  updateFromReport,
} from "../../packages/node/cell/task_run.ts";
import {
  createTaskRun,
  type Unit,
  type UnitRun,
} from "../../packages/node/cell/live_job.ts";
import { SILENT_LOG } from "../../packages/node/cell/log.ts";
import { SpeedTracker } from "../../packages/node/cell/speeds/speed_tracker.ts";
import { computeCoreSeconds } from "../../packages/node/cell/plan_input.ts";
import { computeAvailability } from "../../packages/node/cell/worker_availability.ts";
import type { WorkerSession } from "../../packages/node/cell/worker_session.ts";
import { DISTURBANCE, LOAD, type Load, SERVICE } from "./arrivals.ts";
import {
  ACCELERATORS_PER_WORKER,
  type Deployment,
  listRacks,
} from "./deployments.ts";

const WORKER_CAPACITY: CellResources = {
  cpuMilli: 128_000,
  memoryMib: 524_288,
  accelerators: ACCELERATORS_PER_WORKER,
};
/** A rack-bound run across racks is this much slower, and so is a run away from the rack of its data. */
const REMOTE_SLOWDOWN_FACTOR = 3;
const SLOW_WORKER_SHARE = 0.17;
const WORKER_SLOWDOWN_FACTOR = 6.5;
/** Of the drawing of the workers' speeds, which are the same on all days. */
const SPEED_SEED = 1;
/** Period of the progress reports, in simulated time. */
const REPORT_PERIOD_MS = 1_000;

/** Which speeds a policy sees: 1 for all workers, those estimated from reports, or the actual ones. */
export type SpeedSource = "none" | "estimated" | "known";

/** How a simulated run ended. */
export type ModelRunEnd = "done" | "failed" | "stopped";

interface ModelWorker {
  readonly worker: WorkerName;
  readonly rack: RackName;
  readonly failureDomain: FailureDomainName;
  readonly speed: number;
  readonly taskRuns: Set<TaskRun>;
  /** What the estimates of speeds need of a session. */
  readonly session: WorkerSession;
  isSlow: boolean;
  isOut: boolean;
}

interface ModelRun {
  readonly unit: Unit;
  readonly run: UnitRun;
  readonly workers: readonly ModelWorker[];
  readonly remoteSlowdownFactor: number;
  /** Progress is counted as run time at full speed. */
  readonly requiredProgressMs: number;
  /** Progress at which the run fails; infinite if it does not fail. */
  readonly failsAtProgressMs: number;
  readonly progressAtStartMs: number;
  /** Time until the run begins to make progress. */
  remainingDelayMs: number;
  progressMs: number;
  /** When a stopped run ends; infinite if it was not stopped. */
  endsAtMs: number;
}

/** The actual run time of a run and whether it fails, which the policy does not see. */
export interface ActualRun {
  /** Run time at full speed, from no progress to the end. */
  readonly fullRunMs: number;
  /** Share of the run time after which it fails; 1 or more if it does not fail. */
  readonly failsAtShare: number;
}

/** A run that ended during a step of simulated time. */
export interface EndedRun {
  readonly unit: Unit;
  readonly run: number;
  readonly end: ModelRunEnd;
  /** Core-seconds whose progress is lost, accelerators counted as cores. */
  readonly lostCoreSeconds: number;
}

/** The simulated workers and the runs on them. */
export class CellModel {
  readonly #load: Load;
  readonly #deployment: Deployment;
  readonly #workers = new Map<WorkerName, ModelWorker>();
  readonly #runs = new Map<Unit, ModelRun>();
  readonly #savedProgressMs = new Map<Unit, number>();
  readonly #unitByTaskRun = new WeakMap<TaskRun, Unit>();
  readonly #speeds: SpeedTracker;
  #nowMs = 0;
  #nextRunNumber = 1;
  #nextReportMs = 0;

  private constructor(load: Load, deployment: Deployment) {
    this.#load = load;
    this.#deployment = deployment;
    const { workers, workersPerRack, failureDomains } = deployment;
    const racks = listRacks(deployment);
    const speeds = deployment.speeds.length;
    const random = SeededRandom.create(SPEED_SEED);
    this.#speeds = SpeedTracker.create({
      epoch: 1,
      clock: { nowMs: () => this.#nowMs } as Clock,
      nowUnixMs: () => this.#nowMs,
      log: SILENT_LOG,
      getUnit: (taskRun) => this.#unitByTaskRun.get(taskRun),
      getWorkerCount: () => this.#workers.size,
    });
    for (let number = 0; number < workers; number++) {
      const worker = brandId<WorkerName>(`worker-${number}`);
      const rack = racks[Math.floor(number / workersPerRack)] ?? racks[0]!;
      const taskRuns = new Set<TaskRun>();
      this.#workers.set(worker, {
        worker,
        rack,
        failureDomain: brandId(`domain-${number % failureDomains}`),
        speed: deployment.speeds[nextInteger(random, speeds)] ?? 1,
        taskRuns,
        session: {
          worker,
          incarnationStartUnixMs: 1,
          hasReported: true,
          record: { rack },
          get taskRuns() {
            return [...taskRuns];
          },
        } as unknown as WorkerSession,
        isSlow: false,
        isOut: false,
      });
    }
  }

  static create(load: Load, deployment: Deployment): CellModel {
    return new CellModel(load, deployment);
  }

  get isIdle(): boolean {
    return this.#runs.size === 0;
  }

  /** The workers that are in service, with their free capacity. */
  createWorkerViews(speedSource: SpeedSource): WorkerView[] {
    return [...this.#workers.values()].filter(({ isOut }) => !isOut).map(
      (worker) => ({
        ...createWorkerView(worker, this.#getViewSpeed(worker, speedSource)),
        isSpeedMeasured: speedSource === "estimated"
          ? this.#speeds.isMeasured(worker.session)
          : undefined,
      }),
    );
  }

  #getViewSpeed(worker: ModelWorker, source: SpeedSource): number {
    switch (source) {
      case "none":
        return 1;
      case "estimated":
        return this.#speeds.getSpeed(worker.session);
      case "known":
        return getActualSpeed(worker);
    }
  }

  /** Starts a run of the unit on the named workers, one for each task. */
  start(
    unit: Unit,
    workerNames: readonly WorkerName[],
    actualRun: ActualRun,
    nowMs: number,
  ): void {
    const workers = workerNames.map((name) => this.#workers.get(name)!);
    const run: UnitRun = {
      run: this.#nextRunNumber++,
      taskRuns: new Map(),
      incarnations: new Map(),
      startedMs: nowMs,
      isPending: false,
      isClosing: false,
    };
    for (const [index, worker] of workers.entries()) {
      const taskRun = createTaskRun(unit, index, run.run);
      run.taskRuns.set(taskRun, worker.session);
      this.#unitByTaskRun.set(taskRun, unit);
      // As if a checkpoint were named otherwise, from which the run continues.
      if (!this.#savedProgressMs.has(unit)) taskRun.startSentMs = nowMs;
      worker.taskRuns.add(taskRun);
    }
    unit.run = run;
    const savedProgressMs = this.#savedProgressMs.get(unit) ?? 0;
    const racks = new Set(workers.map(({ rack }) => rack));
    const { isRackBound, dataRack } = unit.step;
    const isRemote = isRackBound && racks.size > 1 ||
      dataRack !== undefined && !(racks.size === 1 && racks.has(dataRack));
    this.#runs.set(unit, {
      unit,
      run,
      workers,
      remoteSlowdownFactor: isRemote ? REMOTE_SLOWDOWN_FACTOR : 1,
      requiredProgressMs: actualRun.fullRunMs,
      failsAtProgressMs: actualRun.failsAtShare < 1
        ? actualRun.fullRunMs * actualRun.failsAtShare
        : Infinity,
      progressAtStartMs: savedProgressMs,
      remainingDelayMs: this.#deployment.startDelayMs +
        (savedProgressMs > 0 ? this.#deployment.restoreDelayMs : 0),
      progressMs: savedProgressMs,
      endsAtMs: Infinity,
    });
  }

  /** Stops the unit's run, if any; its capacity is free after the stop delay. */
  stop(unit: Unit, nowMs: number): void {
    const running = this.#runs.get(unit);
    if (running === undefined || running.run.isClosing) return;
    running.run.isClosing = true;
    running.endsAtMs = nowMs + this.#deployment.stopDelayMs;
    for (const taskRun of running.run.taskRuns.keys()) {
      taskRun.isStopping = true;
    }
  }

  /** Advances all runs by `stepMs`; returns the runs that ended, in the order of their starts. */
  advance(nowMs: number, stepMs: number): readonly EndedRun[] {
    this.#nowMs = nowMs;
    this.#applyDisturbance(nowMs);
    const ended: EndedRun[] = [];
    for (const running of this.#runs.values()) {
      const end = advanceRun(running, nowMs, stepMs);
      if (end !== undefined) ended.push(this.#finish(running, end));
    }
    if (nowMs >= this.#nextReportMs) {
      this.#nextReportMs = nowMs + REPORT_PERIOD_MS;
      for (const running of this.#runs.values()) {
        report(running, nowMs);
      }
      for (const { session } of this.#workers.values()) {
        this.#speeds.recordReport(session);
      }
      this.#speeds.update(() => true);
    }
    return ended;
  }

  #applyDisturbance(nowMs: number): void {
    const isDisturbed = nowMs >= DISTURBANCE.FROM_MS &&
      nowMs < DISTURBANCE.UNTIL_MS;
    let number = 0;
    for (const worker of this.#workers.values()) {
      const isAmongSlowWorkers = number++ <
        this.#deployment.workers * SLOW_WORKER_SHARE;
      worker.isSlow = isDisturbed && this.#load === LOAD.SLOW_WORKERS &&
        isAmongSlowWorkers;
      worker.isOut = isDisturbed && this.#load === LOAD.DOMAIN_OUT &&
        worker.failureDomain === "domain-0";
    }
  }

  #finish(running: ModelRun, end: ModelRunEnd): EndedRun {
    const { unit, run, workers, progressAtStartMs, progressMs } = running;
    this.#runs.delete(unit);
    if (end === "done") {
      for (const [taskRun, session] of run.taskRuns) {
        const { task } = taskRun;
        this.#speeds.recordEnd(
          session,
          { sequence: 0, task, run: run.run, end, checkpoint: "" },
          taskRun,
        );
      }
    }
    for (const worker of workers) {
      for (const taskRun of run.taskRuns.keys()) {
        worker.taskRuns.delete(taskRun);
      }
    }
    unit.run = undefined;
    const isProgressKept = unit.step.savesProgress || end === "done";
    if (end === "stopped" && isProgressKept) {
      this.#savedProgressMs.set(unit, progressMs);
    }
    if (end === "failed") this.#savedProgressMs.delete(unit);
    const lostMs = end === "done" || end === "stopped" && isProgressKept
      ? 0
      : progressMs - (end === "failed" ? 0 : progressAtStartMs);
    return {
      unit,
      run: run.run,
      end,
      lostCoreSeconds: computeCoreSeconds(unit.step, lostMs) * unit.count,
    };
  }
}

function getActualSpeed({ speed, isSlow }: ModelWorker): number {
  return speed / (isSlow ? WORKER_SLOWDOWN_FACTOR : 1);
}

function createWorkerView(worker: ModelWorker, speed: number): WorkerView {
  return {
    worker: worker.worker,
    service: SERVICE,
    failureDomain: worker.failureDomain,
    rack: worker.rack,
    labels: new Set(),
    capacity: WORKER_CAPACITY,
    ...computeAvailability(WORKER_CAPACITY, worker.taskRuns),
    slowness: 1,
    speed,
  };
}

function advanceRun(
  running: ModelRun,
  nowMs: number,
  stepMs: number,
): ModelRunEnd | undefined {
  if (running.endsAtMs <= nowMs) return "stopped";
  if (running.remainingDelayMs > 0) {
    running.remainingDelayMs -= stepMs;
    return undefined;
  }
  const slowestSpeed = Math.min(...running.workers.map(getActualSpeed));
  running.progressMs += stepMs * slowestSpeed / running.remoteSlowdownFactor;
  if (running.progressMs >= running.failsAtProgressMs) return "failed";
  return running.progressMs >= running.requiredProgressMs ? "done" : undefined;
}

function report(
  { run, progressMs, requiredProgressMs }: ModelRun,
  nowMs: number,
): void {
  const percent = Math.floor(100 * progressMs / requiredProgressMs);
  for (const taskRun of run.taskRuns.keys()) {
    updateFromReport(taskRun, { ...taskRun, percent }, nowMs, nowMs);
  }
}
