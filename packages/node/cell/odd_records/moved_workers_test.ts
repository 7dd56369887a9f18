/** Workers that have started again at another address while the lease moved. */
import { brandId, type WorkerAddress } from "@coltsfootpond/common";
import { expect } from "chai";
import { SETTLE_MS, START_MS, startHolder, startRun } from "./cell_fixtures.ts";

describe("a worker that has moved while the lease moved", () => {
  // Guards against a run that is started again only when the leases at the earlier address, where the
  // connection is refused, have expired.
  it("is asked at its new address once the earlier one is closed", async () => {
    const simulation = await startRun();
    const a = simulation.get("a");
    await simulation.clock.advance(SETTLE_MS);
    a.restart();
    Object.assign(a.record, { address: brandId<WorkerAddress>("a:2") });
    await simulation.clock.advance(SETTLE_MS / 2);
    startHolder(simulation);
    await simulation.clock.advance(START_MS);
    expect(simulation.history).to.have.length(2);
    expect(simulation.countOverlaps()).to.equal(0);
    expect(a.running).to.have.length(1);
  });
});
