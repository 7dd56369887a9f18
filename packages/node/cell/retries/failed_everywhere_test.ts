import { expect } from "chai";
import { CellSimulation } from "../cell_simulation.ts";
import { createSpec } from "../test_fixtures.ts";

describe("a task that failed on every worker", () => {
  // Guards against a job with attempts left that no worker may run any more.
  it("is tried again", async () => {
    const simulation = CellSimulation.create(["a"]);
    const worker = simulation.get("a");
    const spec = createSpec("00000000000000cc", { maximumAttempts: 3 });
    simulation.startScheduler();
    await simulation.submit(spec);
    await simulation.clock.advance(1_000);
    worker.end(worker.running[0]!, "failed");
    await simulation.clock.advance(10_000);
    expect(simulation.history).to.have.length(2);
  });
});
