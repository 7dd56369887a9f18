/**
 * Baseline policies: one queue over all failure domains, scanned in order of arrival; every job that
 * fits is placed at once. They ignore guarantees, quotas and reservations.
 */
import {
  ADJACENCY,
  type Declarations,
  type JobId,
  type RackName,
  type Shape,
  type ValueOf,
  type WorkerName,
} from "@coltsfootpond/common";
import type { Assignment, EngineJob } from "@coltsfootpond/policy";
import {
  addScaled,
  countFitting,
  createShapeKey,
  type MutableResources,
} from "../../packages/policy/placement/resources.ts";
import type { PolicyDecision, ReplayPolicy } from "./replay.ts";

/** How a baseline chooses among the workers or groups of workers that a job fits on. */
export const BASELINE = {
  FIRST_FIT: "first_fit",
  BEST_FIT: "best_fit",
  SPREAD: "spread",
} as const;
export type Baseline = ValueOf<typeof BASELINE>;

interface WorkerState {
  readonly name: WorkerName;
  readonly free: MutableResources;
}

/** The workers of a rack, or of a failure domain, which has no name here. */
interface WorkerGroup {
  readonly name: RackName | undefined;
  readonly workers: readonly WorkerState[];
}

/** Workers that the whole job fits on. */
interface Candidate {
  readonly workers: readonly WorkerState[];
  readonly freeCapacity: number;
}

/** Free accelerators; free processors decide only between equal numbers of them. */
function measureFreeCapacity({ free }: WorkerState): number {
  return free.accelerators + free.milliprocessors / 1e6;
}

/** A baseline policy with its own state of the workers. */
export class BaselinePolicy implements ReplayPolicy {
  readonly name: Baseline;
  readonly #racks: WorkerGroup[] = [];
  readonly #domains: WorkerGroup[] = [];
  readonly #workers = new Map<WorkerName, WorkerState>();
  readonly #assignments = new Map<JobId, readonly Assignment[]>();
  readonly #queue = new Map<JobId, EngineJob>();

  private constructor(name: Baseline, declarations: Declarations) {
    this.name = name;
    for (const domain of declarations.failureDomains) {
      const domainWorkers: WorkerState[] = [];
      for (const rack of domain.racks) {
        const workers = rack.workers.map((worker) => ({
          name: worker.name,
          free: { ...worker.resources },
        }));
        for (const worker of workers) this.#workers.set(worker.name, worker);
        this.#racks.push({ name: rack.name, workers });
        domainWorkers.push(...workers);
      }
      this.#domains.push({ name: undefined, workers: domainWorkers });
    }
  }

  static create(name: Baseline, declarations: Declarations): BaselinePolicy {
    return new BaselinePolicy(name, declarations);
  }

  submit(job: EngineJob): void {
    this.#queue.set(job.jobId, job);
  }

  start(): void {}

  end(job: EngineJob): void {
    for (const { worker } of this.#assignments.get(job.jobId) ?? []) {
      addScaled(this.#workers.get(worker)!.free, job.shape.perTask, 1);
    }
    this.#assignments.delete(job.jobId);
  }

  decide(): readonly PolicyDecision[] {
    const decisions: PolicyDecision[] = [];
    const unplaceableShapes = new Set<string>();
    for (const { jobId, shape } of this.#queue.values()) {
      const key = createShapeKey(shape);
      if (unplaceableShapes.has(key)) continue;
      const assignments = this.#assignTasks(shape);
      if (assignments === undefined) {
        unplaceableShapes.add(key);
        continue;
      }
      for (const { worker } of assignments) {
        addScaled(this.#workers.get(worker)!.free, shape.perTask, -1);
      }
      this.#assignments.set(jobId, assignments);
      this.#queue.delete(jobId);
      decisions.push({ kind: "place", jobId, assignments });
    }
    return decisions;
  }

  nextDecisionMs(): undefined {
    return undefined;
  }

  /** Assigns all tasks, or returns undefined if the job does not fit anywhere. */
  #assignTasks(shape: Shape): Assignment[] | undefined {
    const chosen = this.#chooseCandidate(this.#listCandidates(shape));
    if (chosen === undefined) return undefined;
    const assignments: Assignment[] = [];
    for (const { name, free } of this.#sortWorkers(chosen.workers)) {
      const count = countFitting(free, shape.perTask);
      for (let remaining = count; remaining > 0; remaining--) {
        if (assignments.length === shape.tasks) return assignments;
        assignments.push({ index: assignments.length, worker: name });
      }
    }
    return assignments.length === shape.tasks ? assignments : undefined;
  }

  *#listCandidates(shape: Shape): Generator<Candidate> {
    const { tasks, perTask, adjacency } = shape;
    if (tasks === 1 || adjacency === ADJACENCY.WORKER) {
      for (const worker of this.#workers.values()) {
        if (countFitting(worker.free, perTask) < tasks) continue;
        yield { workers: [worker], freeCapacity: measureFreeCapacity(worker) };
      }
      return;
    }
    const groups = adjacency === ADJACENCY.RACK ? this.#racks : this.#domains;
    for (const { workers } of groups) {
      let fitting = 0;
      let freeCapacity = 0;
      for (const worker of workers) {
        fitting += countFitting(worker.free, perTask);
        freeCapacity += measureFreeCapacity(worker);
      }
      if (fitting >= tasks) yield { workers, freeCapacity };
    }
  }

  #chooseCandidate(candidates: Iterable<Candidate>): Candidate | undefined {
    let best: Candidate | undefined;
    for (const candidate of candidates) {
      if (this.name === BASELINE.FIRST_FIT) return candidate;
      const sign = this.name === BASELINE.BEST_FIT ? 1 : -1;
      const isBetter = best === undefined ||
        sign * candidate.freeCapacity < sign * best.freeCapacity;
      if (isBetter) best = candidate;
    }
    return best;
  }

  #sortWorkers(workers: readonly WorkerState[]): readonly WorkerState[] {
    if (this.name === BASELINE.FIRST_FIT) return workers;
    const sign = this.name === BASELINE.BEST_FIT ? 1 : -1;
    return [...workers].sort((left, right) =>
      sign * (measureFreeCapacity(left) - measureFreeCapacity(right))
    );
  }
}
