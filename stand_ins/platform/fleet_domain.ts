/**
 * The simulated workers of one failure domain. There are no timers: every call first applies the
 * expiries, ends and checkpoints that are due by then.
 */
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

/** How long a bad worker runs a task before it fails it. */
const BAD_WORKER_RUN_MS = 50;

/** One failure domain of the fleet, with the highest epoch that it has received. */
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
    const assignRevision = (task: FleetTask) =>
      void (task.revision = ++this.#revision);
    for (const declared of declaration.workers) {
      const worker = FleetWorker.create(
        declared,
        ++this.#revision,
        assignRevision,
      );
      this.#workers.set(declared.name, worker);
    }
  }

  static create(declaration: FleetDeclaration, random: Random): FleetDomain {
    return new FleetDomain(declaration, random);
  }

  /** Executes a batch in order; refuses all of it when its epoch is lower than an earlier one. */
  command(batch: CommandBatch, nowMs: number): readonly CommandStatus[] {
    this.#applyDueChanges(nowMs);
    if (batch.epoch < this.#epoch) {
      return batch.commands.map(() => COMMAND_STATUS.STALE_EPOCH);
    }
    this.#epoch = batch.epoch;
    return batch.commands.map((command) =>
      this.#execute(command, batch, nowMs)
    );
  }

  /** Removes ended tasks of the attempts in `forget`; reports what changed since the revision. */
  report(request: FleetReportRequest, nowMs: number): FleetReport {
    this.#applyDueChanges(nowMs);
    const since = request.sinceRevision;
    const workers = [...this.#workers.values()];
    for (const worker of workers) worker.forget(request.forget);
    return {
      revision: this.#revision,
      workers: workers
        .filter((worker) => worker.revision > since)
        .map((worker) => worker.report()),
      tasks: workers
        .flatMap((worker) => worker.listTasks())
        .filter((task) => task.revision > since)
        .map((task) => task.report(nowMs)),
    };
  }

  /** Returns false when the worker is not in this failure domain. */
  setCondition(
    name: string,
    condition: WorkerCondition,
    nowMs: number,
  ): boolean {
    this.#applyDueChanges(nowMs);
    const worker = this.#workers.get(name);
    if (worker === undefined) return false;
    worker.condition = condition;
    worker.revision = ++this.#revision;
    if (worker.isUp) return true;
    for (const task of worker.listTasks()) {
      if (task.occupiesResources) worker.end(task, TASK_STATE.LOST, nowMs);
    }
    return true;
  }

  listRuns(nowMs: number): readonly TaskRun[] {
    this.#applyDueChanges(nowMs);
    return this.#runs.flatMap((task) => task.getRun() ?? []);
  }

  sampleCapacity(nowMs: number): readonly CapacitySample[] {
    this.#applyDueChanges(nowMs);
    const racks = new Map<string, CapacitySample>();
    for (const worker of this.#workers.values()) {
      const { rack, resources } = worker.declared;
      const free = worker.isUp ? worker.getFree("accelerators") : 0;
      const isIdle = worker.isUp && free === resources.accelerators;
      const rackSample = racks.get(rack);
      racks.set(rack, {
        atMs: nowMs,
        failureDomain: this.#declaration.failureDomain,
        rack,
        freeAccelerators: (rackSample?.freeAccelerators ?? 0) + free,
        totalAccelerators: (rackSample?.totalAccelerators ?? 0) +
          resources.accelerators,
        totalWorkers: (rackSample?.totalWorkers ?? 0) + 1,
        idleWorkers: (rackSample?.idleWorkers ?? 0) + (isIdle ? 1 : 0),
      });
    }
    return [...racks.values()];
  }

  #execute(
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
        ? { ...behaviour, fails: true, runMs: BAD_WORKER_RUN_MS }
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
      const checkpointMs = task.start?.behaviour.checkpointMs ?? 0;
      task.checkpointDueMs ??= nowMs + checkpointMs;
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
    if (task.occupiesResources) worker.end(task, TASK_STATE.STOPPED, nowMs);
    return COMMAND_STATUS.DONE;
  }

  /** Skips workers that are down: they have no live task, and the report lists them as down. */
  #renew(command: CommandOf<"renew">, nowMs: number): CommandStatus {
    const tasks = command.workers.flatMap((name) =>
      this.#workers.get(name)?.listTasks() ?? []
    );
    for (const task of tasks) {
      if (task.isLive) task.leaseEndMs = nowMs + command.leaseMs;
    }
    return COMMAND_STATUS.DONE;
  }

  #applyDueChanges(nowMs: number): void {
    for (const worker of this.#workers.values()) worker.applyDueChanges(nowMs);
  }
}
