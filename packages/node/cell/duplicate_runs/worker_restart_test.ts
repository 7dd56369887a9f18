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

  // Guards against acknowledging an end of a new incarnation by a number that an old one gave.
  it("does not lose an end to an acknowledgement meant for the earlier incarnation", async () => {
    const simulation = CellSimulation.create(["a"]);
    const worker = simulation.get("a");
    worker.isCutFromStore = true;
    simulation.startScheduler();
    await simulation.submit(createSpec(JOB));
    await simulation.clock.advance(1_000);
    worker.end(worker.running[0]!, "done");
    await simulation.submit(createSpec("00000000000000dd"));
    await simulation.clock.advance(2_000);
    expect(worker.running).to.have.length(1);
    // The long poll that waits for the second task's end gets no answer.
    worker.restart();
    // It gets tasks again once its record names the incarnation that reports.
    worker.isCutFromStore = false;
    const later = createSpec("00000000000000ee");
    await simulation.submit(later);
    await simulation.clock.advance(1_000);
    const task = worker.running.find((name) => name.startsWith(later.jobId));
    expect(task).to.not.equal(undefined);
    worker.end(task!, "done");
    await simulation.clock.advance(5_000);
    expect(simulation.runsOf(task!)).to.have.length(1);
    expect(simulation.readJob(later)).to.include({ state: "completed" });
  });
});
