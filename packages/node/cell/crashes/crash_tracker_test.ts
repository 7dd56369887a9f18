import type { WorkerName } from "@coltsfootpond/common";
import type { Crash } from "@coltsfootpond/policy";
import { expect } from "chai";
import { createTaskRun, type Unit } from "../live_job.ts";
import { SILENT_LOG } from "../log.ts";
import type { ProcessFate, TaskRun } from "../task_run.ts";
import { createJob } from "../test_fixtures.ts";
import type { WorkerSession } from "../worker_session.ts";
import { CrashTracker } from "./crash_tracker.ts";

/** A run whose worker closed the connection right after the start; returns what was recorded. */
function recordLoss(
  { isDraining = false, processFate = "ended" }: {
    readonly isDraining?: boolean;
    readonly processFate?: ProcessFate;
  },
  changes: Partial<TaskRun> = {},
): readonly Crash["evidence"][] {
  const job = createJob("00000000000000aa");
  job.openDueUnits(0, 0);
  const unit: Unit = job.units.get("0.0.0")!;
  const evidence: Crash["evidence"][] = [];
  const tracker = CrashTracker.create({
    log: SILENT_LOG,
    locateTask: () => unit,
    applyCrash: (_unit, crash) => void evidence.push(crash.evidence),
  });
  const taskRun = Object.assign(createTaskRun(unit, 0, 1), {
    startSentMs: 100,
    lostContact: { atMs: 110, isClosed: true },
    ...changes,
  });
  const worker = "a" as WorkerName;
  const session = {
    worker,
    target: { worker, address: "a:1" },
    taskRuns: [taskRun],
    isDraining,
  } as unknown as WorkerSession;
  tracker.recordGone(session, taskRun, { reason: "", processFate, inputs: {} });
  return evidence;
}

describe("the crash tracker", () => {
  it("counts a run whose worker's process has ended", () => {
    expect(recordLoss({})).to.deep.equal(["at_start"]);
    expect(recordLoss({}, { startSentMs: undefined, startAnsweredMs: 105 }))
      .to.deep.equal(["uncertain"]);
  });

  // Guards against blaming a task for a stop that its worker had announced.
  it("does not count planned stops, and processes that go on", () => {
    expect(recordLoss({ isDraining: true })).to.deep.equal([]);
    expect(recordLoss({ processFate: "stopped" })).to.deep.equal([]);
    expect(recordLoss({ processFate: "continues" })).to.deep.equal([]);
  });

  it("counts an expired lease only when the worker's connection was closed", () => {
    expect(recordLoss({ processFate: "unknown" })).to.deep.equal(["at_start"]);
    const silent = { lostContact: { atMs: 110, isClosed: false } };
    expect(recordLoss({ processFate: "unknown" }, silent)).to.deep.equal([]);
  });

  it("does not count a placement whose start was not sent", () => {
    expect(recordLoss({}, { startSentMs: undefined })).to.deep.equal([]);
  });
});
