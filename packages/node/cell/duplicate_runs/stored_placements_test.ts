import { ManualClock, type WorkerName } from "@coltsfootpond/common";
import { JobProgress } from "@coltsfootpond/policy";
import { expect } from "chai";
import { LiveJob } from "../live_job.ts";
import { SILENT_LOG } from "../log.ts";
import { RunRegistry } from "../run_registry.ts";
import { createJob, createSpec } from "../test_fixtures.ts";
import type { WorkerSession } from "../worker_session.ts";

const JOB = "00000000000000cc";
const A = "a" as WorkerName;
const B = "b" as WorkerName;

/** A job that recurs, whose first occurrence an earlier holder placed on both workers. */
function createRecurringJob(): LiveJob {
  const recurrence = { times: 2, firstRunUnixMs: 1_000, intervalMs: 1_000 };
  const spec = createSpec(JOB, { recurrence });
  return LiveJob.create({
    spec,
    progress: JobProgress.create(spec),
    rowVersion: 1,
    progressVersion: 1,
    placements: [["0.0.0", 1_000_001, [A, B]]],
  });
}

describe("the stored placements of a job", () => {
  // Guards against losing the placement of an occurrence that a slow wall clock does not show yet.
  it("include an earlier placement of an occurrence that is not due yet", () => {
    const job = createRecurringJob();
    job.openDueUnits(0, 500);
    expect(job.units.size).to.equal(0);
    const placements = job.listPlacements(() => true);
    expect(placements).to.deep.equal([["0.0.0", 0, [A, B]]]);
  });

  // Guards against making each later holder wait for a worker that this one has heard.
  it("name no worker of an earlier placement that has reported", () => {
    const job = createRecurringJob();
    job.openDueUnits(0, 1_500);
    expect(job.units.size).to.equal(1);
    const placements = job.listPlacements((worker) => worker === B);
    expect(placements).to.deep.equal([["0.0.0", 0, [B]]]);
    expect(job.listPlacements(() => false)).to.deep.equal([]);
  });
});
