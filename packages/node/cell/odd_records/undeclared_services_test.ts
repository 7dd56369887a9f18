/** Records of services that the declared state does not name. */
import { expect } from "chai";
import { CellSimulation, SIMULATED_SERVICE } from "../cell_simulation.ts";
import {
  createClosedAddress,
  createSilentAddress,
} from "../fakes/worker_addresses.ts";
import { createSpec, createStep } from "../test_fixtures.ts";
import {
  countCalls,
  JOB,
  putRecord,
  readRoster,
  SETTLE_MS,
  startHolder,
  startRun,
  submitFor,
  UNDECLARED,
} from "./cell_fixtures.ts";

const LONG_MS = 10_000;
/** Time from which the placement of a task is late; the reports of the workers take some ms. */
const PROMPT_MS = 100;

/** Time from the start of a holder to the start of a task on the worker "a". */
async function measureFirstStartMs(
  putOddRows: (simulation: CellSimulation) => void,
): Promise<number> {
  const simulation = CellSimulation.create(["a", "b"]);
  startHolder(simulation);
  await simulation.clock.advance(SETTLE_MS);
  putOddRows(simulation);
  await simulation.clock.advance(SETTLE_MS);
  await submitFor(simulation, "a");
  const startedMs = simulation.clock.nowMs();
  startHolder(simulation);
  await simulation.clock.advance(LONG_MS);
  return Math.min(
    ...simulation.history.map((run) => run.startedMs - startedMs),
  );
}

/** Records of the service at each kind of address. */
function putUndeclared(simulation: CellSimulation): void {
  const service = UNDECLARED;
  putRecord(simulation, "0closed", "a", {
    service,
    address: createClosedAddress(),
  });
  putRecord(simulation, "0silent", "a", {
    service,
    address: createSilentAddress(),
  });
  putRecord(simulation, "x", "a", { service });
}

const UNDECLARED_WORKERS = ["0closed", "0silent", "x"];

describe("a record of a service that is not declared", () => {
  // Guards against calls to the workers of others, and against their place in the stored roster.
  it("leads to no call and to no place in the roster", async () => {
    const simulation = await startRun();
    putUndeclared(simulation);
    await simulation.clock.advance(SETTLE_MS);
    startHolder(simulation);
    await simulation.clock.advance(SETTLE_MS);
    expect(simulation.unnamedCalls).to.deep.equal([]);
    for (const worker of UNDECLARED_WORKERS) {
      expect(countCalls(simulation, worker), worker).to.equal(0);
    }
    expect(readRoster(simulation)).to.have.members(["a", "b"]);
    expect(simulation.history).to.have.length(1);
  });

  // Guards against a new holder that waits for the reports of workers that it cannot use.
  it("does not delay the first start of a new holder", async () => {
    const withoutMs = await measureFirstStartMs(() => {});
    const withMs = await measureFirstStartMs(putUndeclared);
    expect(withoutMs).to.be.below(PROMPT_MS);
    expect(withMs).to.equal(withoutMs);
  });
});

describe("a service", () => {
  // Guards against workers that stay unused because their service was declared after their start.
  it("that is declared later is used soon", async () => {
    const simulation = CellSimulation.create(["a", "b"]);
    Object.assign(simulation.get("b").record, { service: UNDECLARED });
    startHolder(simulation);
    await simulation.clock.advance(LONG_MS);
    await simulation.submit(createSpec(JOB, {
      service: UNDECLARED,
      steps: [createStep()],
    }));
    await simulation.clock.advance(SETTLE_MS);
    expect(simulation.history).to.deep.equal([]);
    simulation.declareServices([SIMULATED_SERVICE, UNDECLARED]);
    await simulation.clock.advance(SETTLE_MS);
    expect(simulation.history.map(({ worker }) => worker)).to.deep.equal(["b"]);
    expect(simulation.unnamedCalls).to.deep.equal([]);
  });

  // Guards against runs whose leases expire as nobody follows them any more.
  it("that is removed has its runs followed to their ends", async () => {
    const simulation = await startRun();
    simulation.declareServices([UNDECLARED]);
    await simulation.clock.advance(LONG_MS);
    const [run] = simulation.history;
    expect(simulation.get("a").running).to.have.length(1);
    simulation.get("a").end(run!.task, "done");
    await simulation.clock.advance(SETTLE_MS);
    expect(simulation.readJob(createSpec(JOB))).to.include({
      state: "completed",
    });
    expect(simulation.history).to.have.length(1);
  });

  // The same after the lease has passed to another holder.
  it("that is removed has its runs followed by a new holder", async () => {
    const simulation = await startRun();
    simulation.declareServices([UNDECLARED]);
    await simulation.clock.advance(SETTLE_MS);
    startHolder(simulation);
    await simulation.clock.advance(LONG_MS);
    const [run] = simulation.history;
    expect(simulation.get("a").running).to.have.length(1);
    simulation.get("a").end(run!.task, "done");
    await simulation.clock.advance(SETTLE_MS);
    expect(simulation.readJob(createSpec(JOB))).to.include({
      state: "completed",
    });
    expect(simulation.history).to.have.length(1);
  });
});
