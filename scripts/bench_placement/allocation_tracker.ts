/**
 * Tracks what a replay has allocated on the workers, independently of the policy under test. Counts
 * broken placement rules and measures fragmentation.
 */
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
  /** Free resources; negative if the policy overcommitted the worker. */
  readonly free: MutableResources;
}

/** How often a policy broke each placement rule. */
export interface ViolationCounts {
  /** Tasks placed on a worker without enough free resources. */
  overCommitted: number;
  /** Gangs placed with fewer or more tasks than their shape has. */
  partGangs: number;
  /** Gangs that need one rack, placed over several. */
  notAdjacent: number;
  /** Placements after which an organisation used more than its quota. */
  overQuota: number;
  /** Reclaims of jobs that can neither save a checkpoint nor run again; counted by the replay. */
  pinnedEvicted: number;
  [key: string]: number;
}

/** Accelerators of all workers at one moment. */
export interface FragmentationSample {
  readonly freeAccelerators: number;
  /** Free accelerators that no waiting or declared large shape can use. */
  readonly strandedAccelerators: number;
  readonly totalAccelerators: number;
}

/** The allocations of one replay; all methods apply at the current virtual time. */
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
  readonly #usageByOrganisation = new Map<OrganisationName, MutableResources>();
  readonly #quotas: ReadonlyMap<OrganisationName, MutableResources>;
  readonly #waitingLargeShapes = new Map<
    string,
    { shape: Shape; count: number }
  >();
  #totalAccelerators = 0;

  private constructor(declarations: Declarations) {
    this.#quotas = new Map(
      declarations.organisations.map(({ name, quota }) => [name, quota]),
    );
    for (const { racks } of declarations.failureDomains) {
      for (const rack of racks) {
        const workers = rack.workers.map(({ name, resources }) => {
          const worker = { rack: rack.name, free: { ...resources } };
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

  /** Counts a large shape, one that needs a single rack, as waiting (1) or no longer waiting (-1). */
  countWaiting({ shape }: EngineJob, sign: 1 | -1): void {
    if (shape.adjacency !== ADJACENCY.RACK) return;
    const key = createShapeKey(shape);
    const count = (this.#waitingLargeShapes.get(key)?.count ?? 0) + sign;
    this.#waitingLargeShapes.set(key, { shape, count });
  }

  /** Allocates the tasks and counts the rules that the placement breaks. */
  place(job: EngineJob, assignments: readonly Assignment[]): void {
    const { shape, organisation, jobId } = job;
    if (assignments.length !== shape.tasks) this.violations.partGangs++;
    const racks = new Set<RackName>();
    for (const { worker } of assignments) {
      const state = this.#workers.get(worker)!;
      racks.add(state.rack);
      if (!fitsWithin(shape.perTask, state.free)) {
        this.violations.overCommitted++;
      }
      addScaled(state.free, shape.perTask, -1);
    }
    if (shape.adjacency === ADJACENCY.RACK && racks.size > 1) {
      this.violations.notAdjacent++;
    }
    this.#assignments.set(jobId, assignments);
    this.#addUsage(job, 1);
    const quota = this.#quotas.get(organisation);
    if (
      quota && !fitsWithin(this.#usageByOrganisation.get(organisation)!, quota)
    ) {
      this.violations.overQuota++;
    }
  }

  /** Frees the job's allocation. */
  remove(job: EngineJob): void {
    for (const { worker } of this.#assignments.get(job.jobId) ?? []) {
      addScaled(this.#workers.get(worker)!.free, job.shape.perTask, 1);
    }
    this.#assignments.delete(job.jobId);
    this.#addUsage(job, -1);
  }

  /** Counts free accelerators, and those that no gang of a large shape could use in its rack. */
  sampleFragmentation(): FragmentationSample {
    const shapes = [
      ...LARGE_SHAPES,
      ...[...this.#waitingLargeShapes.values()]
        .filter(({ count }) => count > 0)
        .map(({ shape }) => shape),
    ];
    let freeAccelerators = 0;
    let usable = 0;
    for (const workers of this.#racks.values()) {
      for (const { free } of workers) freeAccelerators += free.accelerators;
      usable += countUsableAccelerators(workers, shapes);
    }
    return {
      freeAccelerators,
      strandedAccelerators: freeAccelerators - usable,
      totalAccelerators: this.#totalAccelerators,
    };
  }

  #addUsage(job: EngineJob, sign: 1 | -1): void {
    const used = this.#usageByOrganisation.get(job.organisation) ??
      { milliprocessors: 0, memoryMib: 0, accelerators: 0 };
    addScaled(used, computeDemand(job.shape), sign);
    this.#usageByOrganisation.set(job.organisation, used);
  }
}

/** Free accelerators of a rack that a gang of one of the shapes could use. */
function countUsableAccelerators(
  workers: readonly TrackedWorker[],
  shapes: readonly Shape[],
): number {
  const usable = workers.map(() => 0);
  for (const { tasks, perTask } of shapes) {
    const counts = workers.map(({ free }) => countFitting(free, perTask));
    if (counts.reduce((sum, count) => sum + count, 0) < tasks) continue;
    counts.forEach((count, index) => {
      const accelerators = count * perTask.accelerators;
      usable[index] = Math.max(usable[index]!, accelerators);
    });
  }
  return usable.reduce((sum, accelerators) => sum + accelerators, 0);
}
