import { expect } from "chai";
import { CellSimulation } from "../cell_simulation.ts";
import { createSpec, createStep } from "../test_fixtures.ts";

const FIRST = "00000000000000aa";
const SECOND = "00000000000000bb";

/** A step that only the named worker may run. */
const runOn = (name: string) => ({
  steps: [createStep({ requiredLabel: name })],
});

describe("a command to a worker that has restarted unnoticed", () => {
  // Guards against a lease end on the clock of the earlier incarnation, which means a longer lease
  // on the new one's.
  it("grants no lease to the new incarnation", async () => {
    const simulation = CellSimulation.create(["a", "b"]);
    const { clock } = simulation;
    const worker = simulation.get("a");
    worker.isCutFromStore = true;
    simulation.startScheduler();
    await clock.advance(4_000);
    worker.restart();
    // Only the restarted worker can take the task.
    simulation.get("b").isDisconnected = true;
    await simulation.submit(createSpec(FIRST));
    worker.renewalDelayMs = 3_500;
    await clock.advance(100);
    simulation.get("b").isDisconnected = false;
    await clock.advance(20_000);
    expect(simulation.countOverlaps()).to.equal(0);
    worker.renewalDelayMs = undefined;
    await clock.advance(5_000);
    expect(simulation.countOverlaps()).to.equal(0);
  });

  // Guards against acknowledging an end that no report has listed, by a number that belongs to the
  // ends of the earlier incarnation.
  it("acknowledges no end of the new incarnation", async () => {
    const simulation = CellSimulation.create(["a", "b"]);
    const { clock } = simulation;
    const worker = simulation.get("a");
    simulation.startScheduler();
    const first = createSpec(FIRST, runOn("a"));
    const second = createSpec(SECOND, runOn("a"));
    await simulation.submit(first);
    await clock.advance(1_000);
    const [task] = worker.running;
    worker.end(task!, "done");
    // The end has been read and stored, and the next poll acknowledges it.
    await clock.advance(300);
    worker.isCutFromStore = true;
    worker.restart();
    await simulation.submit(second);
    // Before the poll that acknowledges.
    for (let passedMs = 0; passedMs < 300; passedMs += 10) {
      await clock.advance(10);
      worker.running.forEach((later) => worker.end(later, "done"));
    }
    await clock.advance(2_000);
    worker.isCutFromStore = false;
    await clock.advance(10_000);
    const doneRuns = simulation.history.filter(({ end }) => end === "done");
    expect(simulation.countOverlaps()).to.equal(0);
    for (const { task, endedMs } of doneRuns) {
      const again = simulation.runsOf(task).filter(({ startedMs }) =>
        startedMs > endedMs!
      );
      expect(again, task).to.have.length(0);
    }
  });
});
