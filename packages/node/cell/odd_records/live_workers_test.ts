/** Odd rows under the names of live workers, which other writers have put. */
import { brandId, type WorkerAddress } from "@coltsfootpond/common";
import { expect } from "chai";
import { CellSimulation } from "../cell_simulation.ts";
import {
  createClosedAddress,
  createSilentAddress,
} from "../fakes/worker_addresses.ts";
import type { OddRow } from "../fakes/worker_table_fake.ts";
import { createSpec } from "../test_fixtures.ts";
import {
  countCalls,
  JOB,
  putRecord,
  readRoster,
  recordEvents,
  SETTLE_MS,
  START_MS,
  startHolder,
  startRun,
  submitFor,
  UNDECLARED,
} from "./cell_fixtures.ts";

const OTHER_JOB = "00000000000000dd";
const UNREADABLE: OddRow = { kind: "unreadable" };
/** More than the time for which a lease or the record of a silent worker lasts. */
const LONG_MS = 10_000;
const GONE_EVENTS = ["worker.left", "worker.restarted"];

type PutOddRow = (simulation: CellSimulation) => void;

/** Rows that may be put under the name of "a". */
const ODD_ROWS: Readonly<Record<string, PutOddRow>> = {
  "bytes that cannot be read": ({ workerTable }) =>
    workerTable.putOddRow("a", UNREADABLE),
  "an undeclared service": (simulation) =>
    putRecord(simulation, "a", "a", { service: UNDECLARED }),
  "an address that cannot be used": (simulation) =>
    putRecord(simulation, "a", "a", {
      address: brandId<WorkerAddress>("a:80800"),
    }),
  "a closed address": (simulation) =>
    putRecord(simulation, "a", "a", { address: createClosedAddress() }),
  "a silent address": (simulation) =>
    putRecord(simulation, "a", "a", { address: createSilentAddress() }),
  "the address of another worker": (simulation) =>
    putRecord(simulation, "a", "a", { address: brandId<WorkerAddress>("b:1") }),
  "another incarnation": (simulation) =>
    putRecord(simulation, "a", "a", { incarnationStartUnixMs: 7 }),
  "an absurd incarnation": (simulation) =>
    putRecord(simulation, "a", "a", { incarnationStartUnixMs: 1e308 }),
  "a planned stop": (simulation) =>
    putRecord(simulation, "a", "a", { isDraining: true }),
};

/** The odd row stands until the worker reaches the store again. */
async function keepOddRow(
  simulation: CellSimulation,
  put: PutOddRow,
): Promise<void> {
  simulation.get("a").isCutFromStore = true;
  put(simulation);
  await simulation.clock.advance(LONG_MS);
}

describe("an odd row under the name of a live worker", () => {
  for (const [name, put] of Object.entries(ODD_ROWS)) {
    // Guards against runs that are taken as over, stopped or started again.
    it(`lets its runs go on: ${name}`, async () => {
      const simulation = await startRun();
      const events = recordEvents(simulation);
      await keepOddRow(simulation, put);
      expect(simulation.get("a").running).to.have.length(1);
      expect(simulation.history).to.have.length(1);
      expect(events).to.not.include.members(GONE_EVENTS);
      simulation.get("a").end(simulation.history[0]!.task, "done");
      await simulation.clock.advance(SETTLE_MS);
      expect(simulation.readJob(createSpec(JOB))).to.include({
        state: "completed",
      });
    });

    // Guards against starts by a row that the worker has not written.
    it(`keeps new tasks away while it stands: ${name}`, async () => {
      const simulation = await startRun();
      simulation.get("a").isCutFromStore = true;
      put(simulation);
      await simulation.clock.advance(SETTLE_MS);
      await submitFor(simulation, "a", OTHER_JOB);
      await simulation.clock.advance(LONG_MS);
      expect(simulation.history).to.have.length(1);
    });

    // Guards against a worker that stays unused after its row was odd for a moment.
    it(`does not last once it writes again, busy or idle: ${name}`, async () => {
      for (const isBusy of [true, false]) {
        const simulation = await startRun();
        const a = simulation.get("a");
        if (!isBusy) a.end(simulation.history[0]!.task, "done");
        await simulation.clock.advance(SETTLE_MS);
        await keepOddRow(simulation, put);
        a.isCutFromStore = false;
        await simulation.clock.advance(SETTLE_MS);
        await submitFor(simulation, "a", OTHER_JOB);
        await simulation.clock.advance(START_MS);
        expect(simulation.history, `busy: ${isBusy}`).to.have.length(2);
        expect(readRoster(simulation)).to.have.members(["a", "b"]);
      }
    });

    // Guards against a planned stop that is forgotten, and one that ends runs too early.
    it(`leaves a worker draining that drains: ${name}`, async () => {
      const simulation = await startRun();
      const a = simulation.get("a");
      Object.assign(a.record, { isDraining: true });
      await simulation.clock.advance(START_MS);
      await keepOddRow(simulation, put);
      a.isCutFromStore = false;
      await submitFor(simulation, "a", OTHER_JOB);
      await simulation.clock.advance(LONG_MS);
      expect(simulation.history).to.have.length(1);
      expect(a.running).to.have.length(1);
      Object.assign(a.record, { isDraining: false });
      await simulation.clock.advance(LONG_MS);
      expect(simulation.history).to.have.length(2);
    });

    // Guards against a new holder that follows the odd row and not the roster, so that the leases of
    // the worker's runs expire.
    it(`does not keep a new holder from its runs: ${name}`, async () => {
      const simulation = await startRun();
      simulation.get("a").isCutFromStore = true;
      put(simulation);
      startHolder(simulation);
      await simulation.clock.advance(LONG_MS);
      expect(simulation.history).to.have.length(1);
      expect(simulation.get("a").running).to.have.length(1);
    });
  }

  // Guards against a removal by another writer that counts as the worker's planned end.
  it("is no planned end when the row is removed", async () => {
    const simulation = await startRun();
    const a = simulation.get("a");
    await simulation.clock.advance(LONG_MS);
    for (let removal = 0; removal < 10; removal++) {
      const { heartbeat } = a.storedRecord!;
      putRecord(simulation, "a", "a", {
        isDraining: true,
        heartbeat: heartbeat + 1,
      });
      await simulation.clock.advance(750);
      simulation.workerTable.removeOddRow("a");
      await simulation.clock.advance(SETTLE_MS);
    }
    expect(simulation.history).to.have.length(1);
    expect(a.running).to.have.length(1);
  });
});

describe("a copy of a worker's record under another name", () => {
  // Guards against capacity that counts twice, and against calls that disturb the worker.
  it("adds no capacity and stops no run", async () => {
    const simulation = await startRun();
    simulation.get("b").isDisconnected = true;
    for (let copy = 0; copy < 5; copy++) putRecord(simulation, `c${copy}`, "a");
    await simulation.clock.advance(SETTLE_MS);
    for (let job = 1; job <= 9; job++) {
      await submitFor(simulation, "a", `00000000000000e${job}`);
    }
    await simulation.clock.advance(LONG_MS);
    // The worker has room for 8 tasks.
    expect(simulation.get("a").running).to.have.length(8);
    expect(simulation.history).to.have.length(8);
    expect(simulation.unnamedCalls).to.deep.equal([]);
  });

  // Guards against connections that are closed with the copy while the worker uses them.
  it("leaves no session behind when it is removed", async () => {
    const simulation = await startRun();
    putRecord(simulation, "copy", "a");
    await simulation.clock.advance(SETTLE_MS);
    expect(countCalls(simulation, "copy")).to.be.above(0);
    simulation.workerTable.removeOddRow("copy");
    await simulation.clock.advance(LONG_MS);
    const calls = countCalls(simulation, "copy");
    await simulation.clock.advance(LONG_MS);
    expect(countCalls(simulation, "copy")).to.equal(calls);
    expect(readRoster(simulation)).to.have.members(["a", "b"]);
    expect(simulation.get("a").running).to.have.length(1);
  });
});
