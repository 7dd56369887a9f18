/** The replay's own account of workers, quotas and fragmentation; it trusts no policy. */
import {
  ADJACENCY,
  type Declarations,
  type JobId,
  type OrganisationName,
  type RackName,
  type Shape,
  type WorkerName,
} from "@coltsfootpond/common";
import type { Assignment, EngineJob } from "@coltsfootpond/policy";
import {
  addScaled,
  computeDemand,
  countFitting,
  createShapeKey,
  fitsWithin,
  type MutableResources,
} from "../../packages/policy/placement/resources.ts";
import { LARGE_SHAPES } from "./arrivals.ts";

interface TrackedWorker {
  readonly rack: RackName;
  readonly room: MutableResources;
}

export interface ViolationCounts {
  overCommitted: number;
  partGangs: number;
  notAdjacent: number;
  overQuota: number;
  pinnedEvicted: number;
  [key: string]: number;
}

export interface FragmentationSample {
  readonly freeAccelerators: number;
  /** Free accelerators that no waiting or declared large shape can use. */
  readonly strandedAccelerators: number;
  readonly totalAccelerators: number;
}

export class AllocationTracker {
  readonly violations: ViolationCounts = {
    overCommitted: 0,
    partGangs: 0,
    notAdjacent: 0,
    overQuota: 0,
    pinnedEvicted: 0,
  };
  readonly #workers = new Map<WorkerName, TrackedWorker>();
  readonly #racks = new Map<RackName, TrackedWorker[]>();
  readonly #assignments = new Map<JobId, readonly Assignment[]>();
  readonly #used = new Map<OrganisationName, MutableResources>();
  readonly #quotas: ReadonlyMap<OrganisationName, MutableResources>;
  readonly #waitingLarge = new Map<string, { shape: Shape; count: number }>();
  #totalAccelerators = 0;

  private constructor(declarations: Declarations) {
    this.#quotas = new Map(
      declarations.organisations.map(({ name, quota }) => [name, quota]),
    );
    for (const { racks } of declarations.failureDomains) {
      for (const rack of racks) {
        const workers = rack.workers.map(({ name, resources }) => {
          const worker = { rack: rack.name, room: { ...resources } };
          this.#workers.set(name, worker);
          this.#totalAccelerators += resources.accelerators;
          return worker;
        });
        this.#racks.set(rack.name, workers);
      }
    }
  }

  static create(declarations: Declarations): AllocationTracker {
    return new AllocationTracker(declarations);
  }

  /** Counts waiting shapes that are large: gangs with accelerators in one rack. */
  noteWaiting({ shape }: EngineJob, sign: 1 | -1): void {
    if (shape.adjacency !== ADJACENCY.RACK) return;
    const key = createShapeKey(shape);
    const count = (this.#waitingLarge.get(key)?.count ?? 0) + sign;
    this.#waitingLarge.set(key, { shape, count });
  }

  place(job: EngineJob, assignments: readonly Assignment[]): void {
    const { shape, organisation, jobId } = job;
    if (assignments.length !== shape.tasks) this.violations.partGangs++;
    const racks = new Set<RackName>();
    for (const { worker } of assignments) {
      const state = this.#workers.get(worker)!;
      racks.add(state.rack);
      if (!fitsWithin(shape.perTask, state.room)) {
        this.violations.overCommitted++;
      }
      addScaled(state.room, shape.perTask, -1);
    }
    if (shape.adjacency === ADJACENCY.RACK && racks.size > 1) {
      this.violations.notAdjacent++;
    }
    this.#assignments.set(jobId, assignments);
    this.#count(job, 1);
    const quota = this.#quotas.get(organisation);
    if (quota && !fitsWithin(this.#used.get(organisation)!, quota)) {
      this.violations.overQuota++;
    }
  }

  remove(job: EngineJob): void {
    for (const { worker } of this.#assignments.get(job.jobId) ?? []) {
      addScaled(this.#workers.get(worker)!.room, job.shape.perTask, 1);
    }
    this.#assignments.delete(job.jobId);
    this.#count(job, -1);
  }

  sampleFragmentation(): FragmentationSample {
    const shapes = [
      ...LARGE_SHAPES,
      ...[...this.#waitingLarge.values()]
        .filter(({ count }) => count > 0)
        .map(({ shape }) => shape),
    ];
    let freeAccelerators = 0;
    let usable = 0;
    for (const workers of this.#racks.values()) {
      for (const { room } of workers) freeAccelerators += room.accelerators;
      usable += countUsable(workers, shapes);
    }
    return {
      freeAccelerators,
      strandedAccelerators: freeAccelerators - usable,
      totalAccelerators: this.#totalAccelerators,
    };
  }

  #count(job: EngineJob, sign: 1 | -1): void {
    const used = this.#used.get(job.organisation) ??
      { milliprocessors: 0, memoryMib: 0, accelerators: 0 };
    addScaled(used, computeDemand(job.shape), sign);
    this.#used.set(job.organisation, used);
  }
}

/** Free accelerators of a rack that some gang of the shapes could take. */
function countUsable(
  workers: readonly TrackedWorker[],
  shapes: readonly Shape[],
): number {
  const usable = workers.map(() => 0);
  for (const { tasks, perTask } of shapes) {
    const counts = workers.map(({ room }) => countFitting(room, perTask));
    if (counts.reduce((sum, count) => sum + count, 0) < tasks) continue;
    counts.forEach((count, index) => {
      const accelerators = count * perTask.accelerators;
      usable[index] = Math.max(usable[index]!, accelerators);
    });
  }
  return usable.reduce((sum, accelerators) => sum + accelerators, 0);
}
