import { SeededRandom } from "@coltsfootpond/common";
import { expect } from "chai";
import { CellSimulation } from "../cell_simulation.ts";
import { createSpec, createStep } from "../test_fixtures.ts";
import { GangMembers } from "./gang_members.ts";

/** A running gang of one task on each of two workers. */
async function startGang() {
  const simulation = CellSimulation.create(["a", "b"]);
  const need = { cpuMilli: 1_000, memoryMib: 1_000, accelerators: 8 };
  const steps = [createStep({ count: 2, isGang: true, need })];
  const spec = createSpec("00000000000000aa", { steps });
  GangMembers.create(simulation, SeededRandom.create(1), () => [spec]);
  const scheduler = simulation.startScheduler();
  await simulation.submit(spec);
  return { simulation, scheduler };
}

describe("the tasks of a simulated gang", () => {
  it("end broken after another one, also on a disconnected worker", async () => {
    const { simulation, scheduler } = await startGang();
    const { clock, history } = simulation;
    await clock.advance(100);
    expect(history).to.have.length(2);
    simulation.stopScheduler(scheduler);
    const other = simulation.get("b");
    other.isDisconnected = true;
    const worker = simulation.get("a");
    worker.end(worker.running[0]!, "failed");
    await clock.advance(49);
    expect(other.running).to.have.length(1);
    await clock.advance(200);
    expect(other.running).to.have.length(0);
    expect(history.map(({ end }) => end)).to.have.members([
      "failed",
      "broken",
    ]);
  });

  it("end alone when the others do not start", async () => {
    const { simulation, scheduler } = await startGang();
    const { clock, history } = simulation;
    simulation.get("b").startDelayMs = 60_000;
    await clock.advance(100);
    simulation.stopScheduler(scheduler);
    simulation.workers.forEach((worker) => (worker.expireLease = () => {}));
    await clock.advance(2_800);
    expect(history.map(({ end }) => end)).to.deep.equal([undefined]);
    await clock.advance(300);
    expect(history.map(({ end }) => end)).to.deep.equal(["alone"]);
  });
});
