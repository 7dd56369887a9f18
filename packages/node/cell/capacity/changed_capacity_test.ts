import { expect } from "chai";
import type { CellResources } from "@coltsfootpond/policy";
import { CellSimulation } from "../cell_simulation.ts";
import { createSpec, createStep } from "../test_fixtures.ts";
import type { WorkerFake } from "../workers_fake.ts";

const NEED = { cpuMilli: 1_000, memoryMib: 1_000, accelerators: 4 };
/** A heartbeat, a read of the records and a round. */
const NOTICE_MS = 2_500;

function setCapacity(worker: WorkerFake, capacity: Partial<CellResources>) {
  const changed = { ...worker.record.capacity, ...capacity };
  Object.assign(worker.record, { capacity: changed });
}

function createTask(id: string) {
  return createSpec(id, { steps: [createStep({ need: NEED })] });
}

async function startCell(names: readonly string[]) {
  const simulation = CellSimulation.create(names);
  simulation.startScheduler();
  await simulation.clock.advance(100);
  return simulation;
}

describe("a worker whose capacity changes while it runs", () => {
  // Guards against a start that brings a worker over its capacity (LIMIT).
  it("gets no task beyond what it has left, and one again when it has grown", async () => {
    const simulation = await startCell(["a"]);
    const worker = simulation.get("a");
    await simulation.submit(createTask("00000000000000a1"));
    await simulation.clock.advance(100);
    setCapacity(worker, { accelerators: 2 });
    await simulation.clock.advance(NOTICE_MS);
    await simulation.submit(createTask("00000000000000a2"));
    await simulation.clock.advance(NOTICE_MS);
    expect(simulation.history).to.have.length(1);
    worker.end(worker.running[0]!, "done");
    await simulation.clock.advance(NOTICE_MS);
    expect(simulation.history).to.have.length(1);
    setCapacity(worker, { accelerators: 4 });
    await simulation.clock.advance(NOTICE_MS);
    expect(simulation.history).to.have.length(2);
  });

  // Guards against a start whose placement was stored so late that the worker has shrunk meanwhile.
  it("gets no task that was placed before it shrank", async () => {
    const simulation = await startCell(["a"]);
    const { store } = simulation;
    const { transact } = store;
    store.transact = (...call) =>
      call[0].puts.some(({ key }) => key.startsWith("progress/"))
        ? Promise.resolve({
          kind: "unavailable",
          effect: "refused",
          reason: "test",
        })
        : transact(...call);
    await simulation.submit(createTask("00000000000000a1"));
    await simulation.clock.advance(100);
    setCapacity(simulation.get("a"), { accelerators: 2 });
    await simulation.clock.advance(NOTICE_MS);
    store.transact = transact;
    await simulation.clock.advance(NOTICE_MS);
    expect(simulation.history).to.have.length(0);
    setCapacity(simulation.get("a"), { accelerators: 8 });
    await simulation.clock.advance(NOTICE_MS);
    expect(simulation.history).to.have.length(1);
  });
});
