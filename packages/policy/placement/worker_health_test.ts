import type { JobId, WorkerName } from "@coltsfootpond/common";
import { expect } from "chai";
import type { EngineJob } from "../types.ts";
import { WorkerHealthTracker } from "./worker_health.ts";

const WORKER = "worker" as WorkerName;
const WORKER_COUNT = 8;
const FIRST_PROBE_DELAY_MS = 30_000;

function createJob(number: number): EngineJob {
  return {
    jobId: `job-${number}` as JobId,
    organisation: `organisation-${number}`,
    service: "service",
  } as unknown as EngineJob;
}

/** Records the failure of the job with this number on the worker. */
function fail(health: WorkerHealthTracker, job: number, nowMs: number) {
  return health.recordFailure(
    { job: createJob(job), failedOn: new Set([WORKER]), failures: 1 },
    WORKER,
    WORKER_COUNT,
    nowMs,
  );
}

/** A tracker with the worker in quarantine since 0 ms. */
function createQuarantined(): WorkerHealthTracker {
  const health = WorkerHealthTracker.create();
  fail(health, 1, 0);
  fail(health, 2, 0);
  expect(fail(health, 3, 0).kind).to.equal("worker_at_fault");
  expect(health.nextProbeMs()).to.equal(FIRST_PROBE_DELAY_MS);
  return health;
}

describe("probes of a quarantined worker", () => {
  it("follow a failed one after twice the delay before", () => {
    const health = createQuarantined();
    health.startProbe(WORKER, 30_000);
    fail(health, 4, 31_000);
    expect(health.nextProbeMs()).to.equal(31_000 + 2 * FIRST_PROBE_DELAY_MS);
    health.startProbe(WORKER, 91_000);
    fail(health, 5, 92_000);
    expect(health.nextProbeMs()).to.equal(92_000 + 4 * FIRST_PROBE_DELAY_MS);
  });

  it("are not delayed by failures of jobs that were started before the quarantine", () => {
    const health = createQuarantined();
    fail(health, 4, 10_000);
    expect(health.nextProbeMs()).to.equal(FIRST_PROBE_DELAY_MS);
  });
});
