/** Measures memory and time of the placement engine of one failure domain, by workers and jobs. */
import {
  brandId,
  type Declarations,
  parseDeclarations,
} from "@coltsfootpond/common";
import type { JobRow } from "@coltsfootpond/node";
import type { TableRow } from "@coltsfootpond/ports";
import {
  createPlacementEngine,
  type EngineEvent,
  type PlacementEngine,
} from "@coltsfootpond/policy";
import {
  createAssignments,
  createDeclarationFiles,
  createJobTableRow,
  createQueuedJob,
  createWorker,
} from "./fixtures.ts";
import { measureElapsed, measureHeap, measureProcessor } from "./measure.ts";
import { TARGET } from "./target.ts";
import type { Slope } from "./types.ts";

const WORKERS = Math.ceil(TARGET.workers / TARGET.failureDomains);
const TASKS = 24;
/** Workers that one such job takes at 8 tasks a worker. */
const WORKERS_PER_JOB = 3;
const MAXIMUM_ROUNDS = 10_000;

/** All slopes that need a placement engine. Its memory slopes need `node --expose-gc`. */
export async function measureEngineSlopes(): Promise<readonly Slope[]> {
  const declarations = createDeclarations();
  const create = (workers: number) => createEngine(declarations, workers);
  return [
    measureHeap({
      name: "engine_worker_memory",
      per: "worker known to an engine",
      sizes: [100, 200, 400, 800],
      build: create,
    }),
    measureHeap({
      name: "engine_job_memory",
      per: "running job of 24 tasks known to an engine",
      sizes: [20, 40, 80, 160],
      build: (size) => restoreJobs(create(WORKERS), size),
    }),
    measureHeap({
      name: "engine_queued_job_memory",
      per: "queued job known to an engine",
      sizes: [250, 500, 1_000, 2_000],
      build: (size) => queue(create(WORKERS), size),
    }),
    await measureProcessor({
      name: "placement_time",
      per: "job of 24 tasks placed on 279 workers",
      sizes: [20, 40, 80, 160],
      prepare: (size) => {
        const engine = queue(create(WORKERS), size);
        return () => placeAll(engine, size);
      },
    }),
    await measureProcessor({
      name: "placement_with_queue_time",
      per: "queued job when one more job is placed",
      sizes: [250, 500, 1_000, 2_000],
      prepare: (size) => {
        const engine = queue(create(WORKERS), size);
        engine.apply({ kind: "domain_out", drainMs: 1 }, 0);
        engine.decide(0);
        return () => {
          engine.apply({ kind: "domain_in" }, 1);
          engine.decide(1);
        };
      },
    }),
    await measureElapsed({
      name: "recovery_time",
      per: "job row of 24 tasks decoded and restored",
      sizes: [20, 40, 80, 160],
      prepare: (size) => {
        const rows = Array.from(
          { length: size },
          (_, index) => createJobTableRow(index, TASKS),
        );
        const text = JSON.stringify(rows);
        return () => recoverJobs(create(WORKERS), text);
      },
    }),
  ];
}

function createDeclarations(): Declarations {
  const outcome = parseDeclarations(createDeclarationFiles({
    organisations: TARGET.organisations,
    failureDomains: TARGET.failureDomains,
    workers: TARGET.workers,
  }));
  if (outcome.kind === "invalid") {
    throw new Error("the generated declarations are invalid");
  }
  return outcome.declarations;
}

/**
 * An engine with workers and an even share of the guarantees: the generated guarantees name no failure
 * domain, so one in `TARGET.failureDomains` is used.
 */
function createEngine(
  declarations: Declarations,
  workers: number,
): PlacementEngine {
  const engine = createPlacementEngine();
  const { organisations, guarantees } = declarations;
  const domainGuarantees = guarantees.filter((_guarantee, index) =>
    index % TARGET.failureDomains === 0
  );
  const events: readonly EngineEvent[] = [
    ...Array.from({ length: workers }, (_, index): EngineEvent => ({
      kind: "worker_up",
      worker: createWorker(index),
    })),
    { kind: "configuration", organisations, guarantees: domainGuarantees },
    { kind: "domain_in" },
  ];
  for (const event of events) engine.apply(event, 0);
  return engine;
}

/** Queues jobs of 24 tasks. */
function queue(engine: PlacementEngine, jobs: number): PlacementEngine {
  for (let index = 0; index < jobs; index++) {
    const job = createQueuedJob(index, TASKS);
    engine.apply({ kind: "job_queued", job }, 0);
  }
  return engine;
}

/** Restores running jobs of 24 tasks. */
function restoreJobs(engine: PlacementEngine, jobs: number): PlacementEngine {
  for (let index = 0; index < jobs; index++) {
    engine.apply({
      kind: "job_restored",
      job: createQueuedJob(index, TASKS),
      assignments: createAssignments(
        (index * WORKERS_PER_JOB) % (WORKERS - WORKERS_PER_JOB),
        TASKS,
      ),
      ranMs: 1_000,
    }, 0);
  }
  return engine;
}

/** Lets the engine decide until all jobs are placed; throws when it stops before that. */
function placeAll(engine: PlacementEngine, jobs: number): void {
  let placed = 0;
  for (let round = 0; round < MAXIMUM_ROUNDS && placed < jobs; round++) {
    const decisions = engine.decide(round);
    placed += decisions.filter(({ kind }) => kind === "place").length;
    if (decisions.length === 0 && engine.nextDecisionMs() === undefined) break;
  }
  if (placed < jobs) {
    throw new Error(`the engine placed only ${placed} of ${jobs} queued jobs`);
  }
}

/** Decodes stored job rows and restores their jobs, as an owner does after a takeover. */
function recoverJobs(engine: PlacementEngine, text: string): void {
  const rows = JSON.parse(text) as readonly TableRow[];
  for (const [index, { value }] of rows.entries()) {
    const row = value as unknown as JobRow;
    const job = createQueuedJob(index, TASKS);
    engine.apply({
      kind: "job_restored",
      job: { ...job, jobId: brandId(row.jobId) },
      assignments: row.assignments ?? [],
      ranMs: 0,
    }, 0);
  }
  engine.decide(0);
}
