import { expect } from "chai";
import { CellSimulation } from "../cell_simulation.ts";
import type { LogFields } from "../log.ts";

/** The sources of the sessions that were opened, and the workers whose records were removed. */
function recordLog(simulation: CellSimulation) {
  const sources: unknown[] = [];
  const removed: unknown[] = [];
  const write = (event: string, fields: LogFields = {}) => {
    if (event === "worker.session_opened") sources.push(fields.source);
    if (event === "worker.record_removed") removed.push(fields.worker);
  };
  simulation.log = { info: write, warn: write };
  return { sources, removed };
}

describe("the log of workers' sessions", () => {
  it("shows whether a record or the stored roster named the worker", async () => {
    const simulation = CellSimulation.create(["a"]);
    const { sources } = recordLog(simulation);
    const first = simulation.startScheduler();
    await simulation.clock.advance(1_000);
    simulation.stopScheduler(first);
    simulation.startScheduler();
    await simulation.clock.advance(1_000);
    expect(sources).to.deep.equal(["record", "roster"]);
  });

  it("shows when a record was last in the store", async () => {
    const simulation = CellSimulation.create(["a", "b"]);
    const { removed } = recordLog(simulation);
    simulation.startScheduler();
    await simulation.clock.advance(1_000);
    simulation.get("a").leave(true);
    await simulation.clock.advance(2_000);
    expect(removed).to.deep.equal(["a"]);
  });
});
