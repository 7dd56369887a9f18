/**
 * An independent account of what an engine's decisions make run, for property tests: it trusts
 * nothing that the engine says of itself and notes every broken promise.
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

/** Ways to spread one gang's accelerators over workers, one map for each. */
function listSpreads(
  racks: ReadonlyMap<RackName, readonly WorkerName[]>,
  { shape }: GuaranteeDeclaration,
  rooms: Usage,
): Usage[] {
  const { tasks, perTask, adjacency } = shape;
  const spread = (workers: readonly WorkerName[], rest: number): Usage[] => {
    if (rest === 0) return [new Map()];
    const [first, ...others] = workers;
    if (first === undefined) return [];
    const room = Math.floor((rooms.get(first) ?? 0) / perTask.accelerators);
    const spreads: Usage[] = [];
    for (let count = 0; count <= Math.min(room, rest); count++) {
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

export class EngineInvariantChecker {
  readonly violations: string[] = [];
  readonly waiting = new Map<JobId, EngineJob>();
  readonly running = new Map<JobId, RunningJob>();
  /** Jobs asked to go, and when they will have gone. */
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

  /** Lets the engine decide, carries it out and checks every promise. */
  decide(nowMs: number): void {
    for (const decision of this.#engine.decide(nowMs)) {
      this.#carryOut(decision, nowMs);
    }
    this.#checkWorkers();
    this.#checkQuotas();
  }

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

  /** Stops what runs on a worker, as the job controller does when it is lost. */
  loseWorker(name: WorkerName, nowMs: number): void {
    this.apply({ kind: "worker_down", worker: name }, nowMs);
    for (const [jobId, { job, assignments }] of [...this.running]) {
      if (!assignments.some(({ worker }) => worker === name)) continue;
      this.end(jobId, "stopped", job.idempotent, nowMs);
    }
  }

  /** Whether all guaranteed gangs can be placed by evicting only unpinned work. */
  areGuaranteesReclaimable(): boolean {
    const racks = new Map<RackName, WorkerName[]>();
    const rooms: Usage = new Map();
    for (const { worker, up } of this.#workers.values()) {
      if (!up) continue;
      rooms.set(worker.name, worker.resources.accelerators);
      racks.set(worker.rack, [...racks.get(worker.rack) ?? [], worker.name]);
    }
    const pinned = this.#sumPinned();
    for (const usage of pinned.values()) {
      for (const [worker, amount] of usage) add(rooms, worker, -amount);
    }
    const units = this.#guarantees.flatMap((guarantee) =>
      Array.from({ length: guarantee.count }, () => guarantee)
    );
    return pack(racks, units, rooms, pinned);
  }

  /** Pinned work by organisation and worker; it may lie inside its organisation's own guarantee. */
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

  #carryOut(decision: Decision, nowMs: number): void {
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

/** Exhaustive search; for instances of a few workers and gangs only. */
function pack(
  racks: ReadonlyMap<RackName, readonly WorkerName[]>,
  units: readonly GuaranteeDeclaration[],
  rooms: Usage,
  pinned: ReadonlyMap<OrganisationName, Usage>,
): boolean {
  const [unit, ...rest] = units;
  if (unit === undefined) return true;
  const own = pinned.get(unit.organisation) ?? new Map();
  const reachable: Usage = new Map(rooms);
  for (const [worker, amount] of own) add(reachable, worker, amount);
  return listSpreads(racks, unit, reachable).some((spread) => {
    const restRooms: Usage = new Map(rooms);
    const restOwn: Usage = new Map(own);
    for (const [worker, amount] of spread) {
      const covered = Math.min(amount, restOwn.get(worker) ?? 0);
      add(restOwn, worker, -covered);
      add(restRooms, worker, covered - amount);
    }
    const restPinned = new Map(pinned).set(unit.organisation, restOwn);
    return pack(racks, rest, restRooms, restPinned);
  });
}
