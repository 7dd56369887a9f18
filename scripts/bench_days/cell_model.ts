/**
 * A cell of workers on a manual clock: it runs what a policy places and tells the policy what a
 * holder would know. Slowness, leaving workers and remote runs are our own model.
 */
import {
  brandId,
  type FailureDomainName,
  type RackName,
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
import { measureCoreSeconds } from "../../packages/node/cell/plan_input.ts";
import { measureAvailability } from "../../packages/node/cell/worker_availability.ts";
import type { WorkerSession } from "../../packages/node/cell/worker_session.ts";
import {
  EVENT,
  LOAD,
  type Load,
  RACKS,
  SERVICE,
  WORKER_ACCELERATORS,
  WORKERS_PER_RACK,
} from "./arrivals.ts";

const WORKERS = 33;
const DOMAINS = 3;
const CAPACITY: CellResources = {
  cpuMilli: 128_000,
  memoryMib: 524_288,
  accelerators: WORKER_ACCELERATORS,
};
export const CELL_ACCELERATORS = WORKERS * CAPACITY.accelerators;
const REMOTE_FACTOR = 3;
const SLOW_SHARE = 0.17;
const SLOW_FACTOR = 6.5;
const RESTORE_MS = 600;
const STOP_MS = 100;
const START_MS = 20;
/** Progress is reported this often. */
const REPORT_PERIOD_MS = 1_000;

/** How a run ended in the model. */
export type ModelRunEnd = "done" | "failed" | "stopped";

interface ModelWorker {
  readonly worker: WorkerName;
  readonly rack: RackName;
  readonly failureDomain: FailureDomainName;
  readonly members: Set<TaskRun>;
  isSlow: boolean;
  isOut: boolean;
}

interface ModelRun {
  readonly unit: Unit;
  readonly run: UnitRun;
  readonly workers: readonly ModelWorker[];
  readonly remoteFactor: number;
  readonly goalMs: number;
  /** Progress at which the run fails; infinite when it does not. */
  readonly failsAtMs: number;
  readonly savedAtStartMs: number;
  waitLeftMs: number;
  progressMs: number;
  stopsAtMs: number;
}

/** What the model is told of a run that begins. */
export interface ActualRun {
  readonly goalMs: number;
  /** Share of the run after which it fails; above 1 when it does not. */
  readonly failsAtShare: number;
}

/** What comes out of a step of time. */
export interface EndedRun {
  readonly unit: Unit;
  readonly run: number;
  readonly end: ModelRunEnd;
  /** Core-seconds of the run that are not saved. */
  readonly lostCoreSeconds: number;
}

/** The workers and what runs on them. */
export class CellModel {
  readonly #load: Load;
  readonly #workers = new Map<WorkerName, ModelWorker>();
  readonly #runs = new Map<Unit, ModelRun>();
  readonly #savedMs = new Map<Unit, number>();
  #nextRun = 1;
  #reportDueMs = 0;

  private constructor(load: Load) {
    this.#load = load;
    for (let number = 0; number < WORKERS; number++) {
      const worker = brandId<WorkerName>(`worker-${number}`);
      this.#workers.set(worker, {
        worker,
        rack: RACKS[Math.floor(number / WORKERS_PER_RACK)] ?? RACKS[0]!,
        failureDomain: brandId(`domain-${number % DOMAINS}`),
        members: new Set(),
        isSlow: false,
        isOut: false,
      });
    }
  }

  static create(load: Load): CellModel {
    return new CellModel(load);
  }

  get isIdle(): boolean {
    return this.#runs.size === 0;
  }

  /** The workers that may be given work. */
  createViews(): WorkerView[] {
    return [...this.#workers.values()].filter(({ isOut }) => !isOut).map(
      createView,
    );
  }

  start(
    unit: Unit,
    names: readonly WorkerName[],
    truth: ActualRun,
    nowMs: number,
  ): void {
    const workers = names.map((name) => this.#workers.get(name)!);
    const run: UnitRun = {
      run: this.#nextRun++,
      taskRuns: new Map(),
      startedMs: nowMs,
      isPending: false,
      isClosing: false,
    };
    for (const [index, worker] of workers.entries()) {
      const member = createTaskRun(unit, index, run.run);
      run.taskRuns.set(member, { worker: worker.worker } as WorkerSession);
      worker.members.add(member);
    }
    unit.run = run;
    const savedMs = this.#savedMs.get(unit) ?? 0;
    const racks = new Set(workers.map(({ rack }) => rack));
    const { isRackBound, dataRack } = unit.step;
    const isRemote = isRackBound && racks.size > 1 ||
      dataRack !== undefined && !(racks.size === 1 && racks.has(dataRack));
    this.#runs.set(unit, {
      unit,
      run,
      workers,
      remoteFactor: isRemote ? REMOTE_FACTOR : 1,
      goalMs: truth.goalMs,
      failsAtMs: truth.failsAtShare < 1
        ? truth.goalMs * truth.failsAtShare
        : Infinity,
      savedAtStartMs: savedMs,
      waitLeftMs: START_MS + (savedMs > 0 ? RESTORE_MS : 0),
      progressMs: savedMs,
      stopsAtMs: Infinity,
    });
  }

  /** Stops the unit's run, if any; its room is free a little later. */
  stop(unit: Unit, nowMs: number): void {
    const running = this.#runs.get(unit);
    if (running === undefined || running.run.isClosing) return;
    running.run.isClosing = true;
    running.stopsAtMs = nowMs + STOP_MS;
    for (const member of running.run.taskRuns.keys()) member.isStopping = true;
  }

  /** Lets time pass; ends come out in the order of starts. */
  advance(nowMs: number, stepMs: number): readonly EndedRun[] {
    this.#applyEvent(nowMs);
    const ended: EndedRun[] = [];
    for (const running of this.#runs.values()) {
      const end = progressRun(running, nowMs, stepMs);
      if (end !== undefined) ended.push(this.#finish(running, end));
    }
    if (nowMs >= this.#reportDueMs) {
      this.#reportDueMs = nowMs + REPORT_PERIOD_MS;
      for (const running of this.#runs.values()) report(running, nowMs);
    }
    return ended;
  }

  #applyEvent(nowMs: number): void {
    const isEvent = nowMs >= EVENT.FROM_MS && nowMs < EVENT.UNTIL_MS;
    let number = 0;
    for (const worker of this.#workers.values()) {
      const isAmongSlow = number++ < WORKERS * SLOW_SHARE;
      worker.isSlow = isEvent && this.#load === LOAD.SLOW_WORKERS &&
        isAmongSlow;
      worker.isOut = isEvent && this.#load === LOAD.DOMAIN_OUT &&
        worker.failureDomain === "domain-0";
    }
  }

  #finish(running: ModelRun, end: ModelRunEnd): EndedRun {
    const { unit, run, workers, savedAtStartMs, progressMs } = running;
    this.#runs.delete(unit);
    for (const worker of workers) {
      for (const member of run.taskRuns.keys()) worker.members.delete(member);
    }
    unit.run = undefined;
    const isKept = unit.step.savesProgress || end === "done";
    if (end === "stopped" && isKept) this.#savedMs.set(unit, progressMs);
    if (end === "failed") this.#savedMs.delete(unit);
    const lostMs = end === "done" || end === "stopped" && isKept
      ? 0
      : progressMs - (end === "failed" ? 0 : savedAtStartMs);
    return {
      unit,
      run: run.run,
      end,
      lostCoreSeconds: measureCoreSeconds(unit.step, lostMs) * unit.count,
    };
  }
}

function createView(worker: ModelWorker): WorkerView {
  return {
    worker: worker.worker,
    service: SERVICE,
    failureDomain: worker.failureDomain,
    rack: worker.rack,
    labels: new Set(),
    capacity: CAPACITY,
    ...measureAvailability(CAPACITY, worker.members),
    slowness: 1,
  };
}

function progressRun(
  running: ModelRun,
  nowMs: number,
  stepMs: number,
): ModelRunEnd | undefined {
  if (running.stopsAtMs <= nowMs) return "stopped";
  if (running.waitLeftMs > 0) {
    running.waitLeftMs -= stepMs;
    return undefined;
  }
  const slowFactor = running.workers.some(({ isSlow }) => isSlow)
    ? SLOW_FACTOR
    : 1;
  running.progressMs += stepMs / slowFactor / running.remoteFactor;
  if (running.progressMs >= running.failsAtMs) return "failed";
  return running.progressMs >= running.goalMs ? "done" : undefined;
}

function report({ run, progressMs, goalMs }: ModelRun, nowMs: number): void {
  const percent = Math.floor(100 * progressMs / goalMs);
  for (const member of run.taskRuns.keys()) {
    updateFromReport(member, { ...member, percent }, nowMs);
  }
}
