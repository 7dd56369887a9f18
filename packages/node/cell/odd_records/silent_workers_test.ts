/** Records of the declared service at addresses where no worker answers. */
import { expect } from "chai";
import { CellSimulation } from "../cell_simulation.ts";
import { WorkerSession } from "../worker_session.ts";
import {
  createClosedAddress,
  createSilentAddress,
} from "../fakes/worker_addresses.ts";
import {
  countCalls,
  putRecord,
  readRoster,
  SETTLE_MS,
  startHolder,
  submitFor,
} from "./cell_fixtures.ts";

/** FIRST_REPORT_TIMEOUT_MS of the fleet, and some time to start a task. */
const FIRST_START_MS = 700 + 100;
const MANY = 100;
const LARGE = 1_000;
/** One for each check of 4 ms while a holder waits for reports, and for each later timer within 5 s. */
const LOOKS_PER_WORKER = 300;
const LONG_MS = 20_000;

function putSilent(simulation: CellSimulation, count: number): void {
  for (let number = 0; number < count; number++) {
    const address = number % 2 === 0
      ? createSilentAddress(number)
      : createClosedAddress(number);
    putRecord(simulation, `${number}`, "a", { address });
  }
}

function removeSilent(simulation: CellSimulation, count: number): void {
  for (let number = 0; number < count; number++) {
    simulation.workerTable.removeOddRow(`${number}`);
  }
}

describe("records of workers that never answer", () => {
  for (const count of [1, MANY]) {
    // Guards against a new holder that waits for each of them.
    it(`delay the first start by the wait for reports at most: ${count}`, async () => {
      const simulation = CellSimulation.create(["a", "b"]);
      startHolder(simulation);
      putSilent(simulation, count);
      await simulation.clock.advance(SETTLE_MS);
      await submitFor(simulation, "a");
      startHolder(simulation);
      await simulation.clock.advance(FIRST_START_MS);
      expect(simulation.get("a").running).to.have.length(1);
    });

    // Guards against a roster that grows with what others write.
    it(`leave the roster and are not called after their removal: ${count}`, async () => {
      const simulation = CellSimulation.create(["a", "b"]);
      startHolder(simulation);
      putSilent(simulation, count);
      await simulation.clock.advance(SETTLE_MS);
      // A later holder knows them from the roster only.
      removeSilent(simulation, count);
      startHolder(simulation);
      await simulation.clock.advance(LONG_MS);
      expect(readRoster(simulation)).to.have.members(["a", "b"]);
      const calls = countCalls(simulation, "0");
      await simulation.clock.advance(LONG_MS);
      expect(countCalls(simulation, "0")).to.equal(calls);
    });
  }

  // Guards against calls whose rate grows with what others write.
  it("are called at a bounded rate", async () => {
    const simulation = CellSimulation.create(["a"]);
    putSilent(simulation, MANY);
    startHolder(simulation);
    await simulation.clock.advance(LONG_MS);
    const calls = [...simulation.callsByTarget].filter(([target]) =>
      target !== "a a:1"
    ).reduce((sum, [, count]) => sum + count, 0);
    const firstCalls = 4 * MANY;
    expect(calls).to.be.within(MANY, firstCalls + MANY * LONG_MS / 1_000);
  });

  // Guards against work for each call that grows with their number, which keeps the process from
  // renewing the scheduler's lease.
  it("are called without a look at all of them for each call", async () => {
    const { get } = Object.getOwnPropertyDescriptor(
      WorkerSession.prototype,
      "hasReported",
    )!;
    let looks = 0;
    Object.defineProperty(WorkerSession.prototype, "hasReported", {
      configurable: true,
      get(this: WorkerSession) {
        looks++;
        return get!.call(this) as boolean;
      },
    });
    try {
      const simulation = CellSimulation.create(["a"]);
      putSilent(simulation, LARGE);
      startHolder(simulation);
      await simulation.clock.advance(5_000);
    } finally {
      Object.defineProperty(WorkerSession.prototype, "hasReported", { get });
    }
    expect(looks).to.be.below(LARGE * LOOKS_PER_WORKER);
  });

  // Guards against a round that waits or a plan that counts on them.
  it("get no task", async () => {
    const simulation = CellSimulation.create(["a"]);
    putSilent(simulation, MANY);
    startHolder(simulation);
    await simulation.clock.advance(SETTLE_MS);
    await submitFor(simulation, "a");
    await simulation.clock.advance(SETTLE_MS);
    expect(simulation.get("a").running).to.have.length(1);
    expect(simulation.history).to.have.length(1);
  });
});
