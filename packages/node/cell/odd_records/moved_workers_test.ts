/** Workers that have started again at another address while the lease moved. */
import { brandId, type WorkerAddress } from "@coltsfootpond/common";
import { expect } from "chai";
import type { CellSimulation } from "../cell_simulation.ts";
import { SETTLE_MS, START_MS, startHolder, startRun } from "./cell_fixtures.ts";

const EARLIER_ADDRESS = "a:1";

/** Moves "a", which has a run, and starts a holder; then the run must be started again. */
async function moveAndStartHolder(
  changeEarlierAddress: (simulation: CellSimulation) => void,
): Promise<CellSimulation> {
  const simulation = await startRun();
  const a = simulation.get("a");
  await simulation.clock.advance(SETTLE_MS);
  const { address } = a.record;
  a.restart();
  Object.assign(a.record, { address: brandId<WorkerAddress>("a:2") });
  expect(address).to.equal(EARLIER_ADDRESS);
  changeEarlierAddress(simulation);
  await simulation.clock.advance(SETTLE_MS / 2);
  startHolder(simulation);
  await simulation.clock.advance(START_MS);
  return simulation;
}

describe("a worker that has moved while the lease moved", () => {
  // Guards against a run that is started again only when the leases at the earlier address, where the
  // connection is refused, have expired.
  it("is asked at its new address once the earlier one is closed", async () => {
    const simulation = await moveAndStartHolder(() => {});
    expect(simulation.history).to.have.length(2);
    expect(simulation.countOverlaps()).to.equal(0);
    expect(simulation.get("a").running).to.have.length(1);
  });

  // The same when a process of another name has taken over the earlier address.
  it("is asked at its new address once another worker answers at the earlier one", async () => {
    const simulation = await moveAndStartHolder((cell) =>
      cell.addWorker("c", EARLIER_ADDRESS)
    );
    expect(simulation.history).to.have.length(2);
    expect(simulation.countOverlaps()).to.equal(0);
    expect(simulation.get("a").running).to.have.length(1);
  });
});
