/** Records of the declared service at the address of a process that is no worker. */
import { expect } from "chai";
import { createFencingAddress } from "../fakes/worker_addresses.ts";
import { CellSimulation } from "../cell_simulation.ts";
import {
  putRecord,
  SETTLE_MS,
  START_MS,
  startHolder,
  submitFor,
} from "./cell_fixtures.ts";

describe("a record at the address of a process that answers as fenced", () => {
  // Guards against a holder that gives up the lease because of a status that any server may send,
  // as each later holder does.
  it("does not stop the lease holder", async () => {
    const simulation = CellSimulation.create(["a", "b"]);
    putRecord(simulation, "x", "a", { address: createFencingAddress() });
    startHolder(simulation);
    await simulation.clock.advance(SETTLE_MS);
    await submitFor(simulation, "a");
    await simulation.clock.advance(START_MS);
    expect(simulation.get("a").running).to.have.length(1);
  });
});

describe("a lease holder whose commands are fenced", () => {
  // Guards against a holder that goes on after a later one has taken over.
  it("gives up the lease when a worker that has reported to it fences them", async () => {
    const simulation = CellSimulation.create(["a", "b"]);
    let stops = 0;
    simulation.startScheduler(undefined, () => stops++);
    await simulation.clock.advance(SETTLE_MS);
    await submitFor(simulation, "a");
    await simulation.clock.advance(START_MS);
    simulation.startScheduler();
    await simulation.clock.advance(SETTLE_MS);
    expect(stops).to.equal(1);
  });

  it("gives up the lease when all workers that answer fence them", async () => {
    const simulation = CellSimulation.create(["a", "b", "c"]);
    simulation.get("c").isDisconnected = true;
    const setConnected = (isConnected: boolean) =>
      ["a", "b"].forEach((name) =>
        simulation.get(name).isDisconnected = !isConnected
      );
    setConnected(false);
    let stops = 0;
    simulation.startScheduler(undefined, () => stops++);
    await simulation.clock.advance(SETTLE_MS);
    setConnected(true);
    simulation.startScheduler();
    await simulation.clock.advance(SETTLE_MS);
    expect(stops).to.equal(1);
  });
});
