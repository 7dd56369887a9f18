/** The workers of one failure domain under its epoch. What falls due is settled at every call. */
import { assertNever, type Random } from "@coltsfootpond/common";
import {
  COMMAND_STATUS,
  type CommandBatch,
  type CommandStatus,
  type FleetReport,
  type FleetReportRequest,
  TASK_STATE,
  type WorkerCommand,
} from "@coltsfootpond/ports";
import { FleetTask, parseBehaviour, parseCheckpoint } from "./fleet_task.ts";
import { FleetWorker } from "./fleet_worker.ts";
import {
  type CapacitySample,
  type FleetDeclaration,
  type TaskRun,
  WORKER_CONDITION,
  type WorkerCondition,
} from "./types.ts";

type CommandOf<Kind extends WorkerCommand["kind"]> = Extract<
  WorkerCommand,
  { readonly kind: Kind }
>;

/** How long a bad worker takes to fail what it started. */
const BAD_WORKER_FAILS_MS = 50;

/** One failure domain of the fleet. */
export class FleetDomain {
  readonly #declaration: FleetDeclaration;
  readonly #random: Random;
  readonly #workers = new Map<string, FleetWorker>();
  readonly #runs: FleetTask[] = [];
  #epoch = 0;
  #revision = 0;

  private constructor(declaration: FleetDeclaration, random: Random) {
    this.#declaration = declaration;
    this.#random = random;
    const touch = (task: FleetTask) => void (task.revision = ++this.#revision);
    for (const declared of declaration.workers) {
      const worker = FleetWorker.create(declared, ++this.#revision, touch);
      this.#workers.set(declared.name, worker);
    }
  }

  static create(declaration: FleetDeclaration, random: Random): FleetDomain {
    return new FleetDomain(declaration, random);
  }

  /** Carries out a batch; a batch of an earlier epoch is refused whole. */
  command(batch: CommandBatch, nowMs: number): readonly CommandStatus[] {
    this.#settle(nowMs);
    if (batch.epoch < this.#epoch) {
      return batch.commands.map(() => COMMAND_STATUS.STALE_EPOCH);
    }
    this.#epoch = batch.epoch;
    return batch.commands.map((command) =>
      this.#carryOut(command, batch, nowMs)
    );
  }

  report(request: FleetReportRequest, nowMs: number): FleetReport {
    this.#settle(nowMs);
    const since = request.sinceRevision;
    const workers = [...this.#workers.values()];
    for (const worker of workers) worker.forget(request.forget);
    return {
      revision: this.#revision,
      workers: workers
        .filter((worker) => worker.revision > since)
        .map((worker) => worker.describe()),
      tasks: workers
        .flatMap((worker) => worker.listTasks())
        .filter((task) => task.revision > since)
        .map((task) => task.report(nowMs)),
    };
  }

  /** False when the worker is not of this domain. */
  setCondition(
    name: string,
    condition: WorkerCondition,
    nowMs: number,
  ): boolean {
    this.#settle(nowMs);
    const worker = this.#workers.get(name);
    if (worker === undefined) return false;
    worker.condition = condition;
    worker.revision = ++this.#revision;
    if (worker.isUp) return true;
    for (const task of worker.listTasks()) {
      if (task.occupies) worker.end(task, TASK_STATE.LOST, nowMs);
    }
    return true;
  }

  listRuns(nowMs: number): readonly TaskRun[] {
    this.#settle(nowMs);
    return this.#runs.flatMap((task) => task.describeRun() ?? []);
  }

  sampleCapacity(nowMs: number): readonly CapacitySample[] {
    this.#settle(nowMs);
    const racks = new Map<string, CapacitySample>();
    for (const worker of this.#workers.values()) {
      const { rack, resources } = worker.declared;
      const free = worker.isUp ? worker.getFree("accelerators") : 0;
      const idle = worker.isUp && free === resources.accelerators;
      const before = racks.get(rack);
      racks.set(rack, {
        atMs: nowMs,
        failureDomain: this.#declaration.failureDomain,
        rack,
        freeAccelerators: (before?.freeAccelerators ?? 0) + free,
        totalAccelerators: (before?.totalAccelerators ?? 0) +
          resources.accelerators,
        totalWorkers: (before?.totalWorkers ?? 0) + 1,
        idleWorkers: (before?.idleWorkers ?? 0) + (idle ? 1 : 0),
      });
    }
    return [...racks.values()];
  }

  #carryOut(
    command: WorkerCommand,
    batch: CommandBatch,
    nowMs: number,
  ): CommandStatus {
    if (command.kind === "renew") return this.#renew(command, nowMs);
    const worker = this.#workers.get(command.worker);
    if (worker === undefined || !worker.isUp) return COMMAND_STATUS.WORKER_DOWN;
    switch (command.kind) {
      case "hold":
        return this.#hold(worker, command, batch, nowMs);
      case "release":
        return this.#release(worker, command);
      case "start":
        return this.#start(worker, command, nowMs);
      case "checkpoint":
        return this.#checkpoint(worker, command, nowMs);
      case "throttle":
        return this.#throttle(worker, command, nowMs);
      case "stop":
        return this.#stop(worker, command, nowMs);
      default:
        return assertNever(command);
    }
  }

  #hold(
    worker: FleetWorker,
    command: CommandOf<"hold">,
    batch: CommandBatch,
    nowMs: number,
  ): CommandStatus {
    const leaseEndMs = nowMs + command.ttlMs;
    const present = worker.find(command.task);
    if (present?.state === TASK_STATE.HELD) {
      present.leaseEndMs = leaseEndMs;
      return COMMAND_STATUS.DONE;
    }
    if (present?.isLive) return COMMAND_STATUS.DONE;
    if (!worker.fits(command.resources)) return COMMAND_STATUS.NO_CAPACITY;
    worker.add(FleetTask.create({
      key: command.task,
      worker: command.worker,
      rack: worker.declared.rack,
      failureDomain: batch.failureDomain,
      resources: command.resources,
      entry: batch.entry,
      epoch: batch.epoch,
      leaseEndMs,
    }));
    return COMMAND_STATUS.DONE;
  }

  #release(worker: FleetWorker, command: CommandOf<"release">): CommandStatus {
    const task = worker.find(command.task);
    if (task?.state !== TASK_STATE.HELD) return COMMAND_STATUS.NO_HOLD;
    worker.remove(command.task);
    return COMMAND_STATUS.DONE;
  }

  #start(
    worker: FleetWorker,
    command: CommandOf<"start">,
    nowMs: number,
  ): CommandStatus {
    const task = worker.find(command.task);
    if (task?.isLive) return COMMAND_STATUS.DONE;
    if (task?.state !== TASK_STATE.HELD) return COMMAND_STATUS.NO_HOLD;
    const behaviour = parseBehaviour(command.payload, this.#random);
    const bad = worker.condition === WORKER_CONDITION.BAD;
    task.begin({
      leaseMs: command.leaseMs,
      gangTasks: command.gangTasks,
      adjacency: command.adjacency,
      payload: command.payload,
      doneMs: bad ? 0 : parseCheckpoint(command.checkpoint),
      behaviour: bad
        ? { ...behaviour, fails: true, runMs: BAD_WORKER_FAILS_MS }
        : behaviour,
    }, nowMs);
    this.#runs.push(task);
    worker.add(task);
    return COMMAND_STATUS.DONE;
  }

  #checkpoint(
    worker: FleetWorker,
    command: CommandOf<"checkpoint">,
    nowMs: number,
  ): CommandStatus {
    const task = worker.find(command.task);
    if (task === undefined || !task.isLive) return COMMAND_STATUS.NO_TASK;
    if (task.state === TASK_STATE.RUNNING) {
      const takesMs = task.start?.behaviour.checkpointMs ?? 0;
      task.checkpointDueMs ??= nowMs + takesMs;
    }
    return COMMAND_STATUS.DONE;
  }

  #throttle(
    worker: FleetWorker,
    command: CommandOf<"throttle">,
    nowMs: number,
  ): CommandStatus {
    const task = worker.find(command.task);
    if (task?.state !== TASK_STATE.RUNNING) return COMMAND_STATUS.NO_TASK;
    task.throttle(command.share, nowMs);
    return COMMAND_STATUS.DONE;
  }

  #stop(
    worker: FleetWorker,
    command: CommandOf<"stop">,
    nowMs: number,
  ): CommandStatus {
    const task = worker.find(command.task);
    if (task === undefined) return COMMAND_STATUS.NO_TASK;
    if (task.occupies) worker.end(task, TASK_STATE.STOPPED, nowMs);
    return COMMAND_STATUS.DONE;
  }

  /** Workers that are down have no tasks left to renew; the report tells of them. */
  #renew(command: CommandOf<"renew">, nowMs: number): CommandStatus {
    const tasks = command.workers.flatMap((name) =>
      this.#workers.get(name)?.listTasks() ?? []
    );
    for (const task of tasks) {
      if (task.isLive) task.leaseEndMs = nowMs + command.leaseMs;
    }
    return COMMAND_STATUS.DONE;
  }

  #settle(nowMs: number): void {
    for (const worker of this.#workers.values()) worker.settle(nowMs);
  }
}
