/** Tests that work moves away from a worker that leaves at short notice. */
import { expect } from "chai";
import { CellSimulation } from "../cell_simulation.ts";
import { createSpec, createStep } from "../test_fixtures.ts";

const JOB = "00000000000000cc";
const NOTICE_MS = 2_000;

/** Starts a task on one of two workers, lets it run and announces that this worker leaves. */
async function announceDeparture(estimateMs: number) {
  const simulation = CellSimulation.create(["a", "b"]);
  simulation.startScheduler();
  const steps = [createStep({ estimateMs })];
  await simulation.submit(createSpec(JOB, { steps }));
  await simulation.clock.advance(1_000);
  const leaving = [...simulation.workers.values()].find(({ running }) =>
    running.length > 0
  )!;
  Object.assign(leaving.record, {
    isDraining: true,
    drainRemainingMs: NOTICE_MS,
  });
  // The record is written with the next heartbeat, and read soon after.
  await simulation.clock.advance(NOTICE_MS);
  return { simulation, leaving };
}

describe("work on a worker that leaves at short notice", () => {
  // Guards against work that starts again only after the lease of the worker has ended.
  it("is stopped and started elsewhere before the worker leaves", async () => {
    const { simulation } = await announceDeparture(60_000);
    expect(simulation.history.map(({ end }) => end)).to.deep.equal([
      "stopped",
      undefined,
    ]);
    expect(simulation.countOverlaps()).to.equal(0);
  });

  // Guards against work that is thrown away although it would have been done in time.
  it("goes on if it ends before", async () => {
    const { simulation, leaving } = await announceDeparture(4_000);
    leaving.end(leaving.running[0]!, "done");
    await simulation.clock.advance(NOTICE_MS);
    expect(simulation.history.map(({ end }) => end)).to.deep.equal(["done"]);
  });
});
