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
const LONGEST_COURSE_MS = 300_000;

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

  // Guards against counting crashes in the memory of the lease holder only, and against missing those
  // that happen while no holder watches the worker.
  for (const watchedMs of [0, 500, 4_000]) {
    it(`is given up although the lease holder changes ${watchedMs} ms after each start`, async () => {
      const { simulation, scheduler } = await startCell("other_name");
      let holder = scheduler;
      let starts = 0;
      while (
        readState(simulation) === "live" &&
        simulation.clock.nowMs() < LONGEST_COURSE_MS
      ) {
        await simulation.clock.advance(10);
        if (simulation.runsOf(TASK).length === starts) continue;
        starts++;
        await simulation.clock.advance(watchedMs);
        simulation.stopScheduler(holder);
        holder = simulation.startScheduler();
      }
      expect(simulation.runsOf(TASK).length).to.be.at.most(MOST_STARTS);
      expect(readState(simulation)).to.equal("failed");
    });
  }
});

function readState(simulation: CellSimulation): string {
  const row = simulation.readJob(SPEC);
  return row?.kind === "ended" ? row.state : row?.kind ?? "missing";
}
