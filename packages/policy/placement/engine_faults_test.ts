/** Tests of what the engine does about bad workers, bad jobs, lost capacity and domains out. */
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

const BAD = brandId<WorkerName>("worker-0-0");

function createEngine(racks: number, workers: number): PlacementEngine {
  const engine = createPlacementEngine();
  for (const event of createWorkers(racks, workers)) engine.apply(event, 0);
  return engine;
}

function queue(engine: PlacementEngine, nowMs: number, job: JobOptions): void {
  engine.apply({ kind: "job_queued", job: createJob(job) }, nowMs);
}

/** Ends a placed job where it was placed. */
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
  it("quarantines a worker that fails everything, and probes it", () => {
    const engine = createEngine(2, 4);
    const onBad: number[] = [];
    let failed = 0;
    for (let step = 0; step < 400; step++) {
      const nowMs = step * 200;
      queue(engine, nowMs, { id: `${step}`, accelerators: 8 });
      for (const decision of engine.decide(nowMs)) {
        if (decision.kind === "fail") failed++;
        if (decision.kind !== "place") continue;
        const isBad = decision.assignments[0]!.worker === BAD;
        if (isBad) onBad.push(nowMs);
        end(engine, decision, isBad && nowMs < 60_000, nowMs + 100);
      }
    }
    expect({ onBad: onBad.slice(0, 8), failed }).toMatchSnapshot();
  });

  it("fails a job that fails everywhere and quarantines no worker for it", () => {
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

  it("names a guarantee that lost capacity makes impossible, and starts no pinned work", () => {
    const engine = createEngine(1, 2);
    engine.apply({
      kind: "configuration",
      guarantees: [createGuarantee("desk", "gas", createShape(2, 6, "rack"))],
      organisations: [createOrganisation("gas"), createOrganisation("bids")],
    }, 0);
    engine.apply({ kind: "worker_down", worker: BAD }, 1);
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

  it("drains a failure domain that is out, and stops runs past their maximum", () => {
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

  it("refuses jobs beyond an organisation's queue", () => {
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
