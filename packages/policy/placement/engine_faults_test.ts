/**
 * Tests of the engine with faulty workers, faulty jobs, lost capacity and domains out of service.
 */
import { brandId, type WorkerName } from "@coltsfootpond/common";
import { expect } from "chai";
import type { Decision, PlacementEngine } from "../types.ts";
import { createPlacementEngine } from "./engine.ts";
import {
  createGuarantee,
  createJob,
  createOrganisation,
  createShape,
  createWorkers,
  type JobOptions,
} from "./test_fixtures.ts";

const FAULTY_WORKER = brandId<WorkerName>("worker-0-0");

function createEngine(racks: number, workers: number): PlacementEngine {
  const engine = createPlacementEngine();
  for (const event of createWorkers(racks, workers)) engine.apply(event, 0);
  return engine;
}

function queue(engine: PlacementEngine, nowMs: number, job: JobOptions): void {
  engine.apply({ kind: "job_queued", job: createJob(job) }, nowMs);
}

/** Ends the attempt of a placed job; a failure is reported by all of its workers. */
function end(
  engine: PlacementEngine,
  decision: Extract<Decision, { kind: "place" }>,
  failed: boolean,
  nowMs: number,
): void {
  engine.apply({
    kind: "attempt_ended",
    jobId: decision.jobId,
    end: failed ? "failed" : "finished",
    requeue: failed,
    ranMs: 100,
    workers: failed ? decision.assignments.map(({ worker }) => worker) : [],
  }, nowMs);
}

describe("PlacementEngine under faults", () => {
  it("quarantines a worker on which every job fails, and probes it", () => {
    const engine = createEngine(2, 4);
    const onBad: number[] = [];
    let failed = 0;
    for (let step = 0; step < 400; step++) {
      const nowMs = step * 200;
      queue(engine, nowMs, { id: `${step}`, accelerators: 8 });
      for (const decision of engine.decide(nowMs)) {
        if (decision.kind === "fail") failed++;
        if (decision.kind !== "place") continue;
        const isOnFaulty = decision.assignments[0]!.worker === FAULTY_WORKER;
        if (isOnFaulty) onBad.push(nowMs);
        end(engine, decision, isOnFaulty && nowMs < 60_000, nowMs + 100);
      }
    }
    expect({ onBad: onBad.slice(0, 8), failed }).toMatchSnapshot();
  });

  it("fails a job that fails on every worker and quarantines no worker because of it", () => {
    const engine = createEngine(2, 4);
    const log: string[] = [];
    for (let job = 0; job < 12; job++) {
      queue(engine, job, { id: `bad-${job}`, accelerators: 8, service: "bad" });
    }
    for (let nowMs = 100; nowMs < 3_000; nowMs += 100) {
      for (const decision of engine.decide(nowMs)) {
        if (decision.kind === "place") end(engine, decision, true, nowMs);
        if (decision.kind === "fail") log.push(decision.resultName);
      }
    }
    const { freeAccelerators, totalAccelerators } = engine.summarise();
    expect({ log, freeAccelerators, totalAccelerators }).toMatchSnapshot();
  });

  it("reports a guarantee without a place after a loss of capacity, and starts no pinned job", () => {
    const engine = createEngine(1, 2);
    engine.apply({
      kind: "configuration",
      guarantees: [createGuarantee("desk", "gas", createShape(2, 6, "rack"))],
      organisations: [createOrganisation("gas"), createOrganisation("bids")],
    }, 0);
    engine.apply({ kind: "worker_down", worker: FAULTY_WORKER }, 1);
    queue(engine, 1, { id: "pinned", organisation: "bids", idempotent: false });
    const lost = {
      decisions: engine.decide(2),
      broken: engine.listUnplacedGuarantees(),
      reason: engine.getWaitReason(createJob({ id: "pinned" }).jobId),
    };
    engine.apply(createWorkers(1, 2)[0]!, 3);
    const back = {
      decisions: engine.decide(4),
      broken: engine.listUnplacedGuarantees(),
    };
    expect({ lost, back }).toMatchSnapshot();
  });

  it("drains a failure domain out of service, and evicts jobs that exceed their maximum run time", () => {
    const engine = createEngine(1, 2);
    const jobs: JobOptions[] = [
      { id: "checkpoints", canCheckpoint: true },
      { id: "again" },
      { id: "pinned", idempotent: false },
      { id: "long", expectedRunMs: 10, maximumRunMs: 100 },
    ];
    for (const job of jobs) queue(engine, 0, job);
    engine.decide(0);
    for (const job of jobs) {
      engine.apply({ kind: "job_started", jobId: createJob(job).jobId }, 0);
    }
    const steps = [engine.nextDecisionMs(), engine.decide(100)];
    engine.apply({ kind: "domain_out", drainMs: 500 }, 200);
    queue(engine, 200, { id: "later" });
    steps.push(engine.decide(200), engine.nextDecisionMs(), engine.decide(700));
    expect(steps).toMatchSnapshot();
  });

  it("refuses jobs beyond an organisation's limit of queued jobs", () => {
    const engine = createPlacementEngine();
    engine.apply({
      kind: "configuration",
      guarantees: [],
      organisations: [createOrganisation("gas", { queuedJobs: 2 })],
    }, 0);
    for (const id of ["a", "b", "c"]) queue(engine, 0, { id });
    expect(engine.decide(0)).toMatchSnapshot();
  });
});
