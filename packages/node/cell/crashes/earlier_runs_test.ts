import { expect } from "chai";
import { CellSimulation } from "../cell_simulation.ts";
import { createSpec, createStep } from "../test_fixtures.ts";

const SPEC = createSpec("00000000000000ae", {
  steps: [createStep({ requiredLabel: "a" })],
});

/** The holder changes while the task runs on `a`, which drains, so that the task then waits. */
async function changeHolder(whileUnwatched: (cell: CellSimulation) => void) {
  const simulation = CellSimulation.create(["a", "b"]);
  const { clock } = simulation;
  const crashes: unknown[] = [];
  simulation.log = {
    info: () => {},
    warn: (event, fields) => {
      if (event === "worker.crashed") crashes.push(fields?.evidence);
    },
  };
  const first = simulation.startScheduler();
  await simulation.submit(SPEC);
  await clock.advance(100);
  simulation.stopScheduler(first);
  Object.assign(simulation.get("a").record, { isDraining: true });
  whileUnwatched(simulation);
  simulation.startScheduler();
  await clock.advance(3_000);
  return { simulation, crashes };
}

describe("a run that an earlier lease holder placed", () => {
  it("counts as a crash when its worker has restarted while no holder watched", async () => {
    const { crashes } = await changeHolder((cell) => cell.get("a").restart());
    expect(crashes).to.deep.equal(["uncertain"]);
  });

  // Guards against blaming a run that had ended for a later restart of its worker.
  it("does not count when its worker restarts after it was listed as ended", async () => {
    const { simulation, crashes } = await changeHolder((cell) => {
      const worker = cell.get("a");
      worker.end(worker.running[0]!, "failed");
    });
    simulation.get("a").restart();
    await simulation.clock.advance(3_000);
    expect(crashes).to.deep.equal([]);
  });
});
