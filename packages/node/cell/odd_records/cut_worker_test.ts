/** Odd rows under the names of workers that the lease holder does not reach. */
import { expect } from "chai";
import type { CellSimulation } from "../cell_simulation.ts";
import {
  putRecord,
  startHolder,
  startRun,
  UNDECLARED,
} from "./cell_fixtures.ts";

/** More than the time for which a lease lasts. */
const LONG_MS = 10_000;
/** Another writer writes more often than the worker. */
const WRITE_PERIOD_MS = 100;

/** The holder changes while "a" runs a task and is not reached by the holders. */
async function countCrashes(
  put: (simulation: CellSimulation) => void,
): Promise<number> {
  const simulation = await startRun();
  let crashes = 0;
  simulation.log = {
    info: () => {},
    warn: (event) => void (event === "worker.crashed" && crashes++),
  };
  simulation.get("a").isDisconnected = true;
  put(simulation);
  startHolder(simulation);
  for (let elapsedMs = 0; elapsedMs < LONG_MS; elapsedMs += WRITE_PERIOD_MS) {
    put(simulation);
    await simulation.clock.advance(WRITE_PERIOD_MS);
  }
  return crashes;
}

describe("a worker that is cut off with a run of an earlier holder", () => {
  it("counts as no crash while its record stands", async () => {
    expect(await countCrashes(() => {})).to.equal(0);
  });

  // Guards against a job that fails because another writer has overwritten the records of the
  // workers that ran it.
  for (
    const [name, put] of [
      [
        "cannot be read",
        ({ workerTable }: CellSimulation) =>
          workerTable.putOddRow("a", { kind: "unreadable" }),
      ],
      [
        "names an undeclared service",
        (simulation: CellSimulation) =>
          putRecord(simulation, "a", "a", { service: UNDECLARED }),
      ],
    ] as const
  ) {
    it(`counts as none either while its row ${name}`, async () => {
      expect(await countCrashes(put)).to.equal(0);
    });
  }
});
