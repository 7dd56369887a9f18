import { expect } from "chai";
import { CellSimulation } from "../cell_simulation.ts";

/** Restarts the worker and returns the start that its record then names. */
async function readStart(
  simulation: CellSimulation,
  restart: () => void,
): Promise<number | undefined> {
  restart();
  await simulation.clock.advance(20);
  return simulation.get("a").storedRecord?.incarnationStartUnixMs;
}

describe("a fake worker that restarts", () => {
  it("names another start each time, also an earlier one", async () => {
    const simulation = CellSimulation.create(["a"]);
    const worker = simulation.get("a");
    await simulation.clock.advance(5_000);
    const starts = [
      await readStart(simulation, () => worker.restart()),
      await readStart(simulation, () => worker.restart(700)),
      await readStart(simulation, () => worker.restart(700)),
    ];
    expect(starts).to.deep.equal([5_000, 700, 701]);
  });

  it("begins with any value of its monotonic clock", async () => {
    const simulation = CellSimulation.create(["a"]);
    const worker = simulation.get("a");
    await simulation.clock.advance(5_000);
    worker.restart(undefined, worker.workerClockMs);
    expect(worker.workerClockMs).to.equal(5_000);
    worker.restart();
    expect(worker.workerClockMs).to.equal(0);
  });
});
