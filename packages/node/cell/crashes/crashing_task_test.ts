import { expect } from "chai";
import { CellSimulation } from "../cell_simulation.ts";
import { addCrashingTasks, type CrashReturn } from "../fakes/crashing_tasks.ts";
import { createSpec } from "../test_fixtures.ts";

const WORKERS = ["a", "b", "c", "d", "e", "f", "g", "h"];
const SPEC = createSpec("00000000000000dd", { maximumAttempts: 3 });
const TASK = "00000000000000dd.0.0.0";
/** After the third crash only two more starts are allowed (the platform's rules). */
const MOST_STARTS = 5;
/** Time for many more crashes than are allowed. */
const COURSE_MS = 60_000;

/** A cell in which a task of `SPEC` crashes each worker. */
async function startCell(crashReturn: CrashReturn) {
  const simulation = CellSimulation.create(WORKERS);
  addCrashingTasks(simulation, {
    isCrashing: (task) => task === TASK,
    drawReturn: () => crashReturn,
  });
  const scheduler = simulation.startScheduler();
  await simulation.submit(SPEC);
  return { simulation, scheduler };
}

describe("a task that crashes its workers", () => {
  // Guards against a task that is started again after each crash and takes down worker after worker.
  for (const crashReturn of ["same_name", "other_name"] as const) {
    it(`is given up when they return under the ${crashReturn.replace("_", " ")}`, async () => {
      const { simulation } = await startCell(crashReturn);
      await simulation.clock.advance(COURSE_MS);
      expect(simulation.runsOf(TASK).length).to.be.at.most(MOST_STARTS);
      expect(simulation.readJob(SPEC)).to.include({ state: "failed" });
    });
  }

  // Guards against counting crashes in the memory of the lease holder only.
  it("is given up although the lease holder changes after each crash", async () => {
    const { simulation, scheduler } = await startCell("other_name");
    let holder = scheduler;
    for (let crashes = 1; crashes <= WORKERS.length; crashes++) {
      while (
        simulation.runsOf(TASK).length < crashes &&
        simulation.clock.nowMs() < COURSE_MS * crashes
      ) await simulation.clock.advance(50);
      simulation.stopScheduler(holder);
      holder = simulation.startScheduler();
    }
    await simulation.clock.advance(COURSE_MS);
    expect(simulation.runsOf(TASK).length).to.be.at.most(MOST_STARTS);
    expect(simulation.readJob(SPEC)).to.include({ state: "failed" });
  });
});
