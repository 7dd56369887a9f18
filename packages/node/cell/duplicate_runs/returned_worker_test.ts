import { expect } from "chai";
import { CellSimulation } from "../cell_simulation.ts";
import { createSpec, createStep } from "../test_fixtures.ts";
import type { WorkerFake } from "../workers_fake.ts";

const TASK = "00000000000000cc.0.0.0";
const SPEC = createSpec("00000000000000cc", {
  steps: [createStep({ requiredLabel: "worker" })],
});

function setDraining(worker: WorkerFake, isDraining: boolean): void {
  Object.assign(worker.record, { isDraining });
}

/** Two workers that may run the task. */
async function startCell() {
  const simulation = CellSimulation.create(["a", "b"]);
  for (const worker of simulation.workers.values()) {
    Object.assign(worker.record, { labels: ["worker"] });
  }
  simulation.startScheduler();
  await simulation.clock.advance(6_000);
  return simulation;
}

/** Submits the job and waits until a report lists its task; returns the worker. */
async function runTask(simulation: CellSimulation): Promise<WorkerFake> {
  await simulation.submit(SPEC);
  await simulation.clock.advance(1_300);
  return simulation.get(simulation.runsOf(TASK)[0]!.worker);
}

describe("a worker that has returned under its name", () => {
  // Guards against taking the removal of the earlier incarnation's record as the end of the present
  // one, whose run goes on while the task is started again.
  it("keeps its run when the record of its earlier incarnation expires", async () => {
    const simulation = await startCell();
    simulation.workers.forEach((worker) => worker.restart());
    await simulation.clock.advance(700);
    const worker = await runTask(simulation);
    worker.removeRecord();
    await simulation.clock.advance(2_000);
    expect(simulation.countOverlaps()).to.equal(0);
    expect(simulation.runsOf(TASK)).to.have.length(1);
  });

  // The same for a planned stop of the earlier incarnation that the store applies late.
  it("keeps its run when its record is removed while it drains", async () => {
    const simulation = await startCell();
    simulation.workers.forEach((worker) => worker.restart());
    await simulation.clock.advance(6_000);
    const worker = await runTask(simulation);
    setDraining(worker, true);
    await simulation.clock.advance(2_300);
    worker.removeRecord();
    await simulation.clock.advance(1_000);
    expect(simulation.countOverlaps()).to.equal(0);
    expect(simulation.runsOf(TASK)).to.have.length(1);
  });
});

describe("a worker that stops as planned", () => {
  // Guards against waiting for the lease of a run whose worker has left.
  it("is taken as gone soon after its record was removed", async () => {
    const simulation = await startCell();
    const worker = await runTask(simulation);
    setDraining(worker, true);
    await simulation.clock.advance(2_300);
    worker.leave(true);
    await simulation.clock.advance(1_500);
    expect(simulation.runsOf(TASK)).to.have.length(2);
  });
});
