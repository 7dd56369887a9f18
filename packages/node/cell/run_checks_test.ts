import { expect } from "chai";
import { createTaskRun, type Unit } from "./live_job.ts";
import { isStalled } from "./run_checks.ts";
import { createJob } from "./test_fixtures.ts";
import type { WorkerSession } from "./worker_session.ts";

/** A unit whose task has made no progress for the given time. */
function createUnit(withoutProgressMs: number): Unit {
  const job = createJob("00000000000000aa");
  job.openDueUnits(0, 0);
  const unit = [...job.units.values()][0] as Unit;
  const taskRun = createTaskRun(unit, 0, 1);
  taskRun.percent = 50;
  taskRun.percentChangedClockMs = 1_000;
  taskRun.percentReportedClockMs = 1_000 + withoutProgressMs;
  const session = { isReachable: true } as WorkerSession;
  unit.run = {
    run: 1,
    taskRuns: new Map([[taskRun, session]]),
    incarnations: new Map(),
    startedMs: 0,
    isPending: false,
    isClosing: false,
  };
  return unit;
}

describe("a run without progress", () => {
  // Guards against runs that are stopped, and workers that are quarantined, for being slow.
  it("counts as stalled later on a slow worker", () => {
    expect(isStalled(createUnit(2_600), () => 1)).to.equal(true);
    expect(isStalled(createUnit(2_600), () => 0.6)).to.equal(false);
    expect(isStalled(createUnit(4_300), () => 0.6)).to.equal(true);
  });

  // Guards against runs that stay longer on a worker because it has stopped, and so looks slow.
  it("counts as stalled as soon on a worker that seems to have stopped", () => {
    expect(isStalled(createUnit(2_600), () => 0.09)).to.equal(true);
  });

  it("does not count as stalled sooner on a fast worker", () => {
    expect(isStalled(createUnit(2_400), () => 1.6)).to.equal(false);
  });
});
