import { expect } from "chai";
import { CellSimulation } from "../cell_simulation.ts";
import { createSpec } from "../test_fixtures.ts";

const JOB = "00000000000000cc";

describe("a worker that restarts under its name", () => {
  // Guards against attributing a start to the earlier incarnation: its answer names none.
  it("keeps the run that it started before its record showed the restart", async () => {
    const simulation = CellSimulation.create(["a", "b"]);
    simulation.startScheduler();
    await simulation.clock.advance(10_000);
    simulation.workers.forEach((worker) => worker.restart());
    await simulation.submit(createSpec(JOB));
    await simulation.clock.advance(10_000);
    expect(simulation.countOverlaps()).to.equal(0);
    expect(simulation.history).to.have.length(1);
  });
});
