/** Tests of the row that the lease holder publishes, in the simulated cell. */
import type { ServiceName } from "@coltsfootpond/common";
import { expect } from "chai";
import { CellSimulation } from "../cell_simulation.ts";
import { collectUnhandledErrors } from "../fakes/unhandled_errors.ts";
import { decodeRow, LEASE_KEY, LOAD_KEY, type LoadRow } from "../rows.ts";
import { createSpec, createStep } from "../test_fixtures.ts";

const WHOLE_WORKER = { cpuMilli: 1_000, memoryMib: 1_000, accelerators: 8 };

function readRow({ store }: CellSimulation): LoadRow | undefined {
  const row = store.rows().get(LOAD_KEY);
  return row?.value && decodeRow<LoadRow>(row.value);
}

/** Records the times of writes of the row. */
function recordWrites(simulation: CellSimulation): readonly number[] {
  const timesMs: number[] = [];
  const { store, clock } = simulation;
  const { transact } = store;
  store.transact = (transaction, timeoutMs) => {
    if (transaction.puts.some(({ key }) => key === LOAD_KEY)) {
      timesMs.push(clock.nowMs());
    }
    return transact(transaction, timeoutMs);
  };
  return timesMs;
}

async function submitMany(
  simulation: CellSimulation,
  jobs: number,
  stretch = 3,
): Promise<void> {
  for (let job = 0; job < jobs; job++) {
    await simulation.submit(createSpec(`${job}`.padStart(16, "0"), {
      steps: [createStep({ need: WHOLE_WORKER, estimateMs: 4_000 })],
      acceptedUnixMs: simulation.clock.nowMs(),
      stretch,
    }));
  }
}

describe("the load that the lease holder publishes", () => {
  // Guards against store traffic for a load that has not changed.
  it("is not written by an idle cell, nor by one whose jobs find capacity", async () => {
    const simulation = CellSimulation.create(["a", "b", "c"]);
    const writes = recordWrites(simulation);
    simulation.startScheduler();
    await simulation.clock.advance(5_000);
    await submitMany(simulation, 3);
    await simulation.clock.advance(5_000);
    expect(simulation.history).to.have.length(3);
    expect(writes).to.deep.equal([]);
  });

  it("lists a service with a backlog, at most twice a second and at least every second", async () => {
    const simulation = CellSimulation.create(["a"]);
    const writes = recordWrites(simulation);
    simulation.startScheduler();
    await simulation.clock.advance(1_000);
    await submitMany(simulation, 6);
    await simulation.clock.advance(4_000);
    const row = readRow(simulation);
    expect(row?.epoch).to.equal(1);
    expect(row?.services.map(({ service }) => service)).to.deep.equal([
      "service" as ServiceName,
    ]);
    const [load] = row!.services;
    expect(load).to.deep.include({ rate: 1, hasEvictableRuns: true });
    expect(load!.free.accelerators).to.equal(0);
    const waitingMs = load!.waiting.reduce((sum, [, work]) => sum + work, 0);
    expect(waitingMs).to.equal(20_000);
    const gapsMs = writes.slice(1).map((timeMs, index) =>
      timeMs - writes[index]!
    );
    expect(gapsMs).to.not.deep.equal([]);
    gapsMs.forEach((gapMs) => expect(gapMs).to.be.within(500, 1_000));
  });

  // Guards against a rejection that ends the process, or that no later publication follows.
  it("is written beside a row of the lease that cannot be decoded", async () => {
    const simulation = CellSimulation.create(["a"]);
    const value = new Uint8Array([0xc1, 1, 2]);
    const puts = [{ key: LEASE_KEY, value }];
    await simulation.store.transact({ conditions: [], puts, deletes: [] }, 1);
    const errors = await collectUnhandledErrors(async () => {
      simulation.startScheduler();
      await simulation.clock.advance(1_000);
      await submitMany(simulation, 6);
      await simulation.clock.advance(4_000);
    });
    expect(errors).to.deep.equal([]);
    expect(readRow(simulation)).to.include({ epoch: 1, beat: 0 });
  });

  // Guards against forecasts by estimates that are wrong for a whole queue.
  it("has the learned ratio of real to estimated duration", async () => {
    const simulation = CellSimulation.create(["a", "b", "c", "d"]);
    simulation.startScheduler();
    await simulation.clock.advance(1_000);
    // None of them loses its value, and so its place in the backlog, while it waits.
    await submitMany(simulation, 30, 100);
    const ratios: number[] = [];
    for (let round = 0; round < 20; round++) {
      await simulation.clock.advance(8_000);
      for (const worker of simulation.workers.values()) {
        worker.running.forEach((task) => worker.end(task, "done"));
      }
      const row = readRow(simulation);
      if (row?.queues[0] === undefined) break;
      ratios.push(row.queues[0].durationRatio);
    }
    // The tasks took twice their estimate of 4 s; 20 of them count as right beforehand.
    expect(ratios[0]).to.be.within(1, 1.3);
    expect(ratios.at(-1)).to.be.within(1.4, 2);
    expect(readRow(simulation)?.services).to.deep.equal([]);
  });

  it("is written without services once the backlog is gone, and then no more", async () => {
    const simulation = CellSimulation.create(["a"]);
    simulation.startScheduler();
    await simulation.clock.advance(1_000);
    await submitMany(simulation, 6);
    await simulation.clock.advance(2_000);
    for (const name of ["b", "c", "d", "e", "f"]) simulation.addWorker(name);
    await simulation.clock.advance(4_000);
    expect(readRow(simulation)?.services).to.deep.equal([]);
    const writes = recordWrites(simulation);
    await simulation.clock.advance(4_000);
    expect(writes).to.deep.equal([]);
  });
});
