/**
 * Executes an engine's decisions in property tests and records every violated invariant. Counts
 * jobs and workers on its own, independently of the engine's state.
 */
import {
  ADJACENCY,
  type GuaranteeDeclaration,
  type JobId,
  type OrganisationDeclaration,
  type OrganisationName,
  type RackName,
  type WorkerName,
} from "@coltsfootpond/common";
import type {
  Assignment,
  AttemptEnd,
  Decision,
  EngineEvent,
  EngineJob,
  EngineWorker,
  PlacementEngine,
} from "../types.ts";

interface RunningJob {
  readonly job: EngineJob;
  readonly assignments: readonly Assignment[];
  readonly placedAtMs: number;
}

interface WorkerModel {
  readonly worker: EngineWorker;
  up: boolean;
}

type Usage = Map<WorkerName, number>;

function add(usage: Usage, worker: WorkerName, amount: number): void {
  usage.set(worker, (usage.get(worker) ?? 0) + amount);
}

/** All ways to spread one gang over workers, each as accelerators by worker. */
function listSpreads(
  racks: ReadonlyMap<RackName, readonly WorkerName[]>,
  { shape }: GuaranteeDeclaration,
  freeByWorker: Usage,
): Usage[] {
  const { tasks, perTask, adjacency } = shape;
  const spread = (workers: readonly WorkerName[], rest: number): Usage[] => {
    if (rest === 0) return [new Map()];
    const [first, ...others] = workers;
    if (first === undefined) return [];
    const fitting = Math.floor(
      (freeByWorker.get(first) ?? 0) / perTask.accelerators,
    );
    const spreads: Usage[] = [];
    for (let count = 0; count <= Math.min(fitting, rest); count++) {
      for (const tail of spread(others, rest - count)) {
        if (count > 0) tail.set(first, count * perTask.accelerators);
        spreads.push(tail);
      }
    }
    return spreads;
  };
  const scopes = adjacency === ADJACENCY.FAILURE_DOMAIN
    ? [[...racks.values()].flat()]
    : adjacency === ADJACENCY.RACK
    ? [...racks.values()]
    : [...racks.values()].flat().map((worker) => [worker]);
  return scopes.flatMap((workers) => spread(workers, tasks));
}

/** Passes events to an engine and checks its decisions; see `violations`. */
export class EngineInvariantChecker {
  readonly violations: string[] = [];
  readonly waiting = new Map<JobId, EngineJob>();
  readonly running = new Map<JobId, RunningJob>();
  /** Evicted jobs, and the time by which they end. */
  readonly leaving = new Map<JobId, number>();
  readonly placedAtMs = new Map<JobId, number>();
  readonly #engine: PlacementEngine;
  readonly #workers = new Map<WorkerName, WorkerModel>();
  #organisations: readonly OrganisationDeclaration[] = [];
  #guarantees: readonly GuaranteeDeclaration[] = [];

  private constructor(engine: PlacementEngine) {
    this.#engine = engine;
  }

  static create(engine: PlacementEngine): EngineInvariantChecker {
    return new EngineInvariantChecker(engine);
  }

  apply(event: EngineEvent, nowMs: number): void {
    switch (event.kind) {
      case "worker_up":
        this.#workers.set(event.worker.name, { ...event, up: true });
        break;
      case "worker_down":
        this.#workers.get(event.worker)!.up = false;
        break;
      case "configuration":
        this.#organisations = event.organisations;
        this.#guarantees = event.guarantees;
        break;
      case "job_queued":
        this.waiting.set(event.job.jobId, event.job);
        break;
      case "job_withdrawn":
        this.waiting.delete(event.jobId);
        break;
      default:
        break;
    }
    this.#engine.apply(event, nowMs);
  }

  /** Calls `decide`, executes the decisions and checks every invariant. */
  decide(nowMs: number): void {
    for (const decision of this.#engine.decide(nowMs)) {
      this.#execute(decision, nowMs);
    }
    this.#checkWorkers();
    this.#checkQuotas();
  }

  /** Ends a running job; `requeue` puts it back among the waiting ones. */
  end(jobId: JobId, end: AttemptEnd, requeue: boolean, nowMs: number): void {
    const running = this.running.get(jobId);
    if (running === undefined) return;
    this.running.delete(jobId);
    this.leaving.delete(jobId);
    if (requeue) this.waiting.set(jobId, running.job);
    const failed = end === "failed" || end === "refused";
    this.#engine.apply({
      kind: "attempt_ended",
      jobId,
      end,
      requeue,
      ranMs: nowMs - running.placedAtMs,
      workers: failed ? [running.assignments[0]!.worker] : [],
    }, nowMs);
  }

  /** Stops all jobs on a worker, as the job controller does when the worker is lost. */
  loseWorker(name: WorkerName, nowMs: number): void {
    this.apply({ kind: "worker_down", worker: name }, nowMs);
    for (const [jobId, { job, assignments }] of [...this.running]) {
      if (!assignments.some(({ worker }) => worker === name)) continue;
      this.end(jobId, "stopped", job.idempotent, nowMs);
    }
  }

  /** Whether all guaranteed gangs can be placed by evicting only jobs that are not pinned. */
  areGuaranteesReclaimable(): boolean {
    const racks = new Map<RackName, WorkerName[]>();
    const freeByWorker: Usage = new Map();
    for (const { worker, up } of this.#workers.values()) {
      if (!up) continue;
      freeByWorker.set(worker.name, worker.resources.accelerators);
      racks.set(worker.rack, [...racks.get(worker.rack) ?? [], worker.name]);
    }
    const pinned = this.#sumPinned();
    for (const usage of pinned.values()) {
      for (const [worker, amount] of usage) add(freeByWorker, worker, -amount);
    }
    const units = this.#guarantees.flatMap((guarantee) =>
      Array.from({ length: guarantee.count }, () => guarantee)
    );
    return pack(racks, units, freeByWorker, pinned);
  }

  /** Accelerators of pinned jobs by organisation and worker; they may be in their own guarantee. */
  #sumPinned(): Map<OrganisationName, Usage> {
    const pinned = new Map<OrganisationName, Usage>();
    for (const { job, assignments } of this.running.values()) {
      if (job.idempotent || job.canCheckpoint) continue;
      const usage = pinned.get(job.organisation) ?? new Map();
      pinned.set(job.organisation, usage);
      for (const { worker } of assignments) {
        add(usage, worker, job.shape.perTask.accelerators);
      }
    }
    return pinned;
  }

  #execute(decision: Decision, nowMs: number): void {
    const { jobId } = decision;
    switch (decision.kind) {
      case "place": {
        const job = this.waiting.get(jobId);
        if (job === undefined) {
          this.violations.push(`${jobId} placed without waiting`);
          return;
        }
        this.waiting.delete(jobId);
        this.placedAtMs.set(jobId, nowMs);
        const { assignments } = decision;
        this.running.set(jobId, { job, assignments, placedAtMs: nowMs });
        this.#checkGang(job, assignments);
        this.#engine.apply({ kind: "job_started", jobId }, nowMs);
        return;
      }
      case "evict": {
        const running = this.running.get(jobId);
        const isPinned = running !== undefined && !running.job.idempotent &&
          !running.job.canCheckpoint;
        if (isPinned && decision.reason === "reclaim") {
          this.violations.push(`pinned ${jobId} evicted`);
        }
        this.leaving.set(jobId, nowMs + decision.checkpointMs);
        return;
      }
      case "fail":
        this.waiting.delete(jobId);
        return;
    }
  }

  #checkGang(job: EngineJob, assignments: readonly Assignment[]): void {
    const indexes = new Set(assignments.map(({ index }) => index));
    const { tasks, adjacency } = job.shape;
    if (indexes.size !== tasks || assignments.length !== tasks) {
      this.violations.push(`${job.jobId} placed in part`);
    }
    const workers = new Set(assignments.map(({ worker }) => worker));
    const racks = new Set(
      [...workers].map((worker) => this.#workers.get(worker)?.worker.rack),
    );
    const spread = adjacency === ADJACENCY.WORKER
      ? workers.size
      : adjacency === ADJACENCY.RACK
      ? racks.size
      : 1;
    if (spread !== 1) this.violations.push(`${job.jobId} not adjacent`);
  }

  #checkWorkers(): void {
    const used: Usage = new Map();
    for (const { job, assignments } of this.running.values()) {
      for (const { worker } of assignments) {
        add(used, worker, job.shape.perTask.accelerators);
      }
    }
    for (const [name, amount] of used) {
      const model = this.#workers.get(name);
      const capacity = model?.up ? model.worker.resources.accelerators : 0;
      if (amount > capacity) this.violations.push(`${name} over-committed`);
    }
  }

  #checkQuotas(): void {
    for (const { name, quota } of this.#organisations) {
      let used = 0;
      for (const { job } of this.running.values()) {
        if (job.organisation !== name) continue;
        used += job.shape.tasks * job.shape.perTask.accelerators;
      }
      if (used > quota.accelerators) {
        this.violations.push(`${name} over its quota`);
      }
    }
  }
}

/** Whether all units fit. Exhaustive search, for a few workers and gangs only. */
function pack(
  racks: ReadonlyMap<RackName, readonly WorkerName[]>,
  units: readonly GuaranteeDeclaration[],
  freeByWorker: Usage,
  pinned: ReadonlyMap<OrganisationName, Usage>,
): boolean {
  const [unit, ...rest] = units;
  if (unit === undefined) return true;
  const ownPinned = pinned.get(unit.organisation) ?? new Map();
  const usableByUnit: Usage = new Map(freeByWorker);
  for (const [worker, amount] of ownPinned) add(usableByUnit, worker, amount);
  return listSpreads(racks, unit, usableByUnit).some((spread) => {
    const restFree: Usage = new Map(freeByWorker);
    const restOwnPinned: Usage = new Map(ownPinned);
    for (const [worker, amount] of spread) {
      const covered = Math.min(amount, restOwnPinned.get(worker) ?? 0);
      add(restOwnPinned, worker, -covered);
      add(restFree, worker, covered - amount);
    }
    const restPinned = new Map(pinned).set(unit.organisation, restOwnPinned);
    return pack(racks, rest, restFree, restPinned);
  });
}
