import { expect } from "chai";
import { CellSimulation } from "../cell_simulation.ts";
import { createSpec, createStep } from "../test_fixtures.ts";

const JOB = "00000000000000aa";
const LATER_JOB = "00000000000000bb";
const RECORD_CASES = [
  { title: "when its record follows at once", cutFromStoreMs: 0 },
  { title: "when its record follows later", cutFromStoreMs: 2_000 },
];

describe("a worker that restarts with its wall clock set back", () => {
  for (const { title, cutFromStoreMs } of RECORD_CASES) {
    // Guards against skipping the reports of an incarnation that names an earlier start.
    it(`runs its tasks again ${title}`, async () => {
      const simulation = CellSimulation.create(["a"]);
      const { clock } = simulation;
      const worker = simulation.get("a");
      await clock.advance(11_000);
      worker.restart();
      simulation.startScheduler();
      const job = createSpec(JOB);
      await simulation.submit(job);
      await clock.advance(2_000);
      expect(worker.running).to.have.length(1);
      worker.isCutFromStore = true;
      worker.restart(5_000);
      await clock.advance(cutFromStoreMs);
      worker.isCutFromStore = false;
      await clock.advance(2_500);
      expect(worker.running).to.have.length(1);
      worker.end(worker.running[0]!, "done");
      await clock.advance(2_000);
      expect(simulation.readJob(job)).to.include({ state: "completed" });
      expect(simulation.countOverlaps()).to.equal(0);
    });
  }

  // Guards against a later holder that takes the stored record of the earlier incarnation for newer.
  it("is used by a later holder once its record follows", async () => {
    const simulation = CellSimulation.create(["a"]);
    const { clock } = simulation;
    const worker = simulation.get("a");
    await clock.advance(11_000);
    worker.restart();
    const scheduler = simulation.startScheduler();
    await clock.advance(1_000);
    worker.isCutFromStore = true;
    worker.restart(5_000);
    simulation.stopScheduler(scheduler);
    simulation.startScheduler();
    await simulation.submit(createSpec(LATER_JOB, { steps: [createStep()] }));
    await clock.advance(2_000);
    worker.isCutFromStore = false;
    await clock.advance(2_000);
    expect(worker.running).to.have.length(1);
    expect(simulation.countOverlaps()).to.equal(0);
  });
});
