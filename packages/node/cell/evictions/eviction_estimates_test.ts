import { expect } from "chai";
import type { JobRankInput } from "@coltsfootpond/policy";
import { createTaskRun, type Unit } from "../live_job.ts";
import { type TaskRun, updateFromReport } from "../task_run.ts";
import { createJob, createStep } from "../test_fixtures.ts";
import type { WorkerSession } from "../worker_session.ts";
import { EvictionEstimates } from "./eviction_estimates.ts";

const BOUNDS = {
  stopLimitMs: 700,
  checkpointPeriodMs: 1_000,
  restoreMs: 100,
  reclaimMs: 2_700,
};

/** A unit of which one task has run since time 0, and a job without a value to lose by lateness. */
function createRunning(savesProgress: boolean) {
  const step = createStep({ savesProgress, estimateMs: 10_000 });
  const job = createJob("00000000000000aa", { steps: [step] });
  job.openDueUnits(0, 0);
  const unit: Unit = [...job.units.values()][0]!;
  const taskRun: TaskRun = createTaskRun(unit, 0, 1);
  taskRun.startSentMs = 0;
  unit.run = {
    run: 1,
    taskRuns: new Map([[taskRun, {} as WorkerSession]]),
    incarnations: new Map(),
    startedMs: 0,
    isPending: false,
    isClosing: false,
  };
  const rankInput: JobRankInput = {
    spec: { ...job.spec, allowanceMs: 1_000_000 },
    criticalPathMs: 10_000,
    remainingCriticalPathMs: 10_000,
    workMs: 10_000,
    remainingWorkMs: 10_000,
    meanWorkMs: 10_000,
    ageMs: 0,
    isGuaranteed: false,
  };
  const report = (percent: number, checkpoint: string, clockMs: number) =>
    updateFromReport(
      taskRun,
      { task: taskRun.task, run: 1, percent, checkpoint },
      clockMs,
      clockMs,
    );
  const estimate = (nowMs: number) =>
    EvictionEstimates.create(BOUNDS, nowMs).estimateRunning(unit, rankInput);
  return { taskRun, report, estimate };
}

describe("the estimates of evictions", () => {
  // Guards against guaranteed work that waits for ends until an eviction is too late for its bound.
  it("let a unit wait for ends only while a later eviction still meets the bound", () => {
    const estimates = EvictionEstimates.create(BOUNDS, 0);
    expect(estimates.getEndsWithinMs(0)).to.equal(700);
    // 900 ms later, two stops with a round each fit into 2,700 ms.
    expect(estimates.getEndsWithinMs(900)).to.equal(700);
    expect(estimates.getEndsWithinMs(901)).to.equal(undefined);
  });

  // Guards against the checkpoint of an earlier run that counts as written by this one.
  it("date a checkpoint from the report that first shows it, if this run wrote it", () => {
    const { taskRun, report } = createRunning(true);
    taskRun.checkpoint = "earlier";
    report(10, "earlier", 1_000);
    expect(taskRun.checkpointChangedClockMs).to.equal(undefined);
    report(20, "new", 2_000);
    report(30, "new", 3_000);
    expect(taskRun.checkpointChangedClockMs).to.equal(2_000);
  });

  // Guards against runs from a checkpoint that seem to be nearly done after a second.
  it("count the progress since the first report for tasks that save it", () => {
    const { report, estimate } = createRunning(true);
    report(60, "", 500);
    report(70, "", 1_500);
    expect(estimate(2_000).remainingMs).to.be.within(3_000, 8_000);
  });
});
