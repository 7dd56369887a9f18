import { ManualClock, type WorkerName } from "@coltsfootpond/common";
import { JobProgress } from "@coltsfootpond/policy";
import { expect } from "chai";
import { LiveJob, type Unit } from "../live_job.ts";
import { SILENT_LOG } from "../log.ts";
import { RunRegistry } from "../run_registry.ts";
import type { TaskRun } from "../task_run.ts";
import { createJob, createSpec, NO_OTHER_RUNS } from "../test_fixtures.ts";
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

/** A registry of runs on worker a, whose session carries out nothing. */
function createRegistry(unit: Unit) {
  const session = {
    worker: A,
    adopt: (running: TaskRun) => running,
    reserve: () => {},
    start: () => Promise.resolve(),
    stopTaskRun: () => Promise.resolve(),
  } as unknown as WorkerSession;
  const { job, step, stepKey, address } = unit;
  const runs = RunRegistry.create({
    epoch: 1,
    clock: ManualClock.create(),
    log: SILENT_LOG,
    canAct: () => true,
    getSession: () => session,
    mayStart: () => true,
    findAccountOfEnded: () => ({ kind: "unknown" }),
    findQuotaExcess: () => undefined,
    locateTask: () => ({ job, step, stepKey, address }),
    describeEarlierWorkers: () => ({}),
    onFinished: () => {},
  });
  return { runs, session };
}

describe("the stored placements of a job", () => {
  // Guards against losing the placement of an occurrence that a slow wall clock does not show yet.
  it("include an earlier placement of an occurrence that is not due yet", () => {
    const job = createRecurringJob();
    job.openDueUnits(0, 500);
    expect(job.units.size).to.equal(0);
    const placements = job.listPlacements({
      ...NO_OTHER_RUNS,
      isUnreported: () => true,
    });
    expect(placements).to.deep.equal([["0.0.0", 0, [A, B]]]);
  });

  // Guards against making each later holder wait for a worker that this one has heard.
  it("name no worker of an earlier placement that has reported", () => {
    const job = createRecurringJob();
    job.openDueUnits(0, 1_500);
    expect(job.units.size).to.equal(1);
    const placements = job.listPlacements({
      ...NO_OTHER_RUNS,
      isUnreported: (worker) => worker === B,
    });
    expect(placements).to.deep.equal([["0.0.0", 0, [B]]]);
    expect(job.listPlacements(NO_OTHER_RUNS)).to.deep.equal([]);
  });

  // Guards against a later holder that starts a unit beside a run which is still being stopped.
  it("name the worker of a stray run of this holder", () => {
    const job = createJob(JOB);
    job.openDueUnits(0, 0);
    const unit = [...job.units.values()][0]!;
    const { runs, session } = createRegistry(unit);
    runs.place(unit, [A]);
    runs.sendStarts(unit);
    const [taskRun] = unit.run!.taskRuns.keys();
    runs.drop(taskRun!);
    runs.close(unit, "the worker has left");
    runs.resolveStray(runs.addStray(session, taskRun!));
    const strayWorkers = runs.listStrayWorkers(job);
    expect(job.listPlacements({ ...NO_OTHER_RUNS, strayWorkers })).to.deep
      .equal([["0.0.0", 0, [A]]]);
    runs.drop(taskRun!);
    expect(runs.listStrayWorkers(job).size).to.equal(0);
  });
});
