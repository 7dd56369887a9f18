/**
 * Plain baselines: one queue over all failure domains, looked through in order of arrival, and
 * whatever fits is placed at once. They know no guarantees, quotas or reservations.
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

export const BASELINE = {
  FIRST_FIT: "first_fit",
  BEST_FIT: "best_fit",
  SPREAD: "spread",
} as const;
export type Baseline = ValueOf<typeof BASELINE>;

interface PlainWorker {
  readonly name: WorkerName;
  readonly room: MutableResources;
}

interface PlainGroup {
  readonly name: RackName | undefined;
  readonly workers: readonly PlainWorker[];
}

interface Candidate {
  readonly workers: readonly PlainWorker[];
  readonly room: number;
}

function measureRoom({ room }: PlainWorker): number {
  return room.accelerators + room.milliprocessors / 1e6;
}

export class BaselinePolicy implements ReplayPolicy {
  readonly name: Baseline;
  readonly #racks: PlainGroup[] = [];
  readonly #domains: PlainGroup[] = [];
  readonly #workers = new Map<WorkerName, PlainWorker>();
  readonly #placed = new Map<JobId, readonly Assignment[]>();
  readonly #queue = new Map<JobId, EngineJob>();

  private constructor(name: Baseline, declarations: Declarations) {
    this.name = name;
    for (const domain of declarations.failureDomains) {
      const all: PlainWorker[] = [];
      for (const rack of domain.racks) {
        const workers = rack.workers.map((worker) => ({
          name: worker.name,
          room: { ...worker.resources },
        }));
        for (const worker of workers) this.#workers.set(worker.name, worker);
        this.#racks.push({ name: rack.name, workers });
        all.push(...workers);
      }
      this.#domains.push({ name: undefined, workers: all });
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
    for (const { worker } of this.#placed.get(job.jobId) ?? []) {
      addScaled(this.#workers.get(worker)!.room, job.shape.perTask, 1);
    }
    this.#placed.delete(job.jobId);
  }

  decide(): readonly PolicyDecision[] {
    const decisions: PolicyDecision[] = [];
    const full = new Set<string>();
    for (const { jobId, shape } of this.#queue.values()) {
      const key = createShapeKey(shape);
      if (full.has(key)) continue;
      const assignments = this.#find(shape);
      if (assignments === undefined) {
        full.add(key);
        continue;
      }
      for (const { worker } of assignments) {
        addScaled(this.#workers.get(worker)!.room, shape.perTask, -1);
      }
      this.#placed.set(jobId, assignments);
      this.#queue.delete(jobId);
      decisions.push({ kind: "place", jobId, assignments });
    }
    return decisions;
  }

  nextDecisionMs(): undefined {
    return undefined;
  }

  #find(shape: Shape): Assignment[] | undefined {
    const chosen = this.#choose(this.#listCandidates(shape));
    if (chosen === undefined) return undefined;
    const assignments: Assignment[] = [];
    for (const { name, room } of this.#order(chosen.workers)) {
      const count = countFitting(room, shape.perTask);
      for (let rest = count; rest > 0; rest--) {
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
        if (countFitting(worker.room, perTask) < tasks) continue;
        yield { workers: [worker], room: measureRoom(worker) };
      }
      return;
    }
    const groups = adjacency === ADJACENCY.RACK ? this.#racks : this.#domains;
    for (const { workers } of groups) {
      let fitting = 0;
      let room = 0;
      for (const worker of workers) {
        fitting += countFitting(worker.room, perTask);
        room += measureRoom(worker);
      }
      if (fitting >= tasks) yield { workers, room };
    }
  }

  #choose(candidates: Iterable<Candidate>): Candidate | undefined {
    let best: Candidate | undefined;
    for (const candidate of candidates) {
      if (this.name === BASELINE.FIRST_FIT) return candidate;
      const sign = this.name === BASELINE.BEST_FIT ? 1 : -1;
      const isBetter = best === undefined ||
        sign * candidate.room < sign * best.room;
      if (isBetter) best = candidate;
    }
    return best;
  }

  #order(workers: readonly PlainWorker[]): readonly PlainWorker[] {
    if (this.name === BASELINE.FIRST_FIT) return workers;
    const sign = this.name === BASELINE.BEST_FIT ? 1 : -1;
    return [...workers].sort((left, right) =>
      sign * (measureRoom(left) - measureRoom(right))
    );
  }
}
