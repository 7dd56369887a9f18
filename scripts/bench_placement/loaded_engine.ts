/** Creates a placement engine under a given load, to measure its memory. */
import { brandId, type JobId } from "@coltsfootpond/common";
import {
  createPlacementEngine,
  type PlacementEngine,
} from "@coltsfootpond/policy";
import { createSmallShape } from "./deployments.ts";

/** Size of the load; the jobs are spread evenly over the workers and the organisations. */
export interface EngineLoad {
  readonly workers: number;
  readonly runningTasks: number;
  readonly queuedJobs: number;
  readonly organisations: number;
}

const WORKERS_PER_RACK = 8;
const EXPECTED_RUN_MS = 3_600_000;

/** An engine with that many workers, running single-task jobs and queued single-task jobs. */
export function createLoadedEngine(
  load: EngineLoad,
): PlacementEngine {
  const engine = createPlacementEngine({
    maximumQueuedJobs: load.queuedJobs + load.runningTasks + 1,
  });
  const tasksPerWorker = Math.ceil(load.runningTasks / load.workers);
  for (let index = 0; index < load.workers; index++) {
    const rack = Math.floor(index / WORKERS_PER_RACK);
    engine.apply({
      kind: "worker_up",
      worker: {
        name: brandId(`worker-${index}`),
        rack: brandId(`rack-${rack}`),
        resources: {
          milliprocessors: tasksPerWorker * 12_000,
          memoryMib: tasksPerWorker * 50_000,
          accelerators: tasksPerWorker,
        },
      },
    }, 0);
  }
  const total = load.runningTasks + load.queuedJobs;
  for (let index = 0; index < total; index++) {
    const organisation = `organisation-${index % load.organisations}`;
    const jobId: JobId = brandId(`${organisation}/job-${index}`);
    const job = {
      jobId,
      organisation: brandId<never>(organisation),
      service: brandId<never>("service"),
      shape: createSmallShape(1),
      priority: "normal",
      expectedRunMs: EXPECTED_RUN_MS,
      maximumRunMs: 4 * EXPECTED_RUN_MS,
      canCheckpoint: true,
      checkpointMs: 1_000,
      idempotent: true,
      waitedMs: 0,
    } as const;
    if (index >= load.runningTasks) {
      engine.apply({ kind: "job_queued", job }, 0);
      continue;
    }
    const worker = `worker-${index % load.workers}`;
    engine.apply({
      kind: "job_restored",
      job,
      assignments: [{ index: 0, worker: brandId(worker) }],
      ranMs: 0,
    }, 0);
  }
  return engine;
}
