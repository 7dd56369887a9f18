import { expect } from "chai";
import type { CellScheduler } from "../cell_scheduler.ts";
import { CellSimulation } from "../cell_simulation.ts";
import { decodeRow, encodeRow, ROSTER_KEY, type RosterRow } from "../rows.ts";
import { createSpec, createStep } from "../test_fixtures.ts";
import type { WorkerFake } from "../workers_fake.ts";

const JOB = "00000000000000cc";
/** A task that takes a whole worker. */
const LARGE_NEED = { cpuMilli: 8_000, memoryMib: 8_000, accelerators: 8 };

function findRunning(simulation: CellSimulation): readonly WorkerFake[] {
  return [...simulation.workers.values()].filter(({ running }) =>
    running.length > 0
  );
}

function countRunning(simulation: CellSimulation, prefix: string): number {
  return [...simulation.workers.values()].flatMap(({ running }) => running)
    .filter((task) => task.startsWith(prefix)).length;
}

function readRoster(simulation: CellSimulation): readonly string[] {
  const row = simulation.store.rows().get(ROSTER_KEY);
  if (row?.value === undefined) return [];
  return decodeRow<RosterRow>(row.value).workers.map(([worker]) => worker);
}

/** A gang of two on workers of which the second is disconnected when a new lease holder starts. */
async function adoptHalfOfGang(): Promise<{
  readonly simulation: CellSimulation;
  readonly holder: CellScheduler;
  readonly reported: WorkerFake;
}> {
  const simulation = CellSimulation.create(["a", "b", "c", "d", "e"]);
  const steps = [
    createStep({ count: 2, isGang: true, need: LARGE_NEED }),
    createStep({ requiredLabel: "e" }),
  ];
  await simulation.submit(createSpec(JOB, { steps, maximumAttempts: 9 }));
  const first = simulation.startScheduler();
  await simulation.clock.advance(1_000);
  const [reported, unreported] = findRunning(simulation).filter((worker) =>
    worker !== simulation.get("e")
  );
  first.stop();
  unreported!.isDisconnected = true;
  const holder = simulation.startScheduler();
  await simulation.clock.advance(1_000);
  return { simulation, holder, reported: reported! };
}

describe("a new lease holder", () => {
  // Guards against a placement on a worker that neither the roster nor a record names.
  it("starts no task that a worker unknown to it may still run", async () => {
    const simulation = CellSimulation.create(["a", "b"]);
    await simulation.submit(createSpec(JOB));
    const first = simulation.startScheduler();
    await simulation.clock.advance(1_000);
    const [worker] = findRunning(simulation);
    worker!.isCutFromStore = true;
    await simulation.clock.advance(4_000);
    worker!.isDisconnected = true;
    await simulation.clock.advance(600);
    first.stop();
    expect(worker!.storedRecord).to.equal(undefined);
    await simulation.store.transact({
      conditions: [],
      puts: [{ key: ROSTER_KEY, value: encodeRow({ workers: [] }) }],
      deletes: [],
    }, 1);
    simulation.startScheduler();
    await simulation.clock.advance(20_000);
    expect(simulation.countOverlaps()).to.equal(0);
    expect(simulation.history).to.have.length(2);
  });

  // Guards against a roster that loses a worker in use to an older write.
  it("finds the newest roster although an older write of it took effect later", async () => {
    const simulation = CellSimulation.create(["a", "b"]);
    simulation.get("b").isRecordUnreadable = true;
    const { transact } = simulation.store;
    let isFirst = true;
    simulation.store.transact = async (transaction, timeoutMs) => {
      const isRoster = transaction.puts.some(({ key }) => key === ROSTER_KEY);
      if (!isRoster || !isFirst) return await transact(transaction, timeoutMs);
      isFirst = false;
      simulation.clock.after(3_000, () => void transact(transaction, 1));
      return { kind: "unavailable", effect: "lost", reason: "test" };
    };
    simulation.startScheduler();
    await simulation.clock.advance(100);
    simulation.get("b").isRecordUnreadable = false;
    await simulation.clock.advance(2_000);
    expect(readRoster(simulation)).to.have.members(["a", "b"]);
    await simulation.clock.advance(3_000);
    expect(readRoster(simulation)).to.have.members(["a", "b"]);
  });

  // Guards against taking a gang's adopted tasks for all of its tasks.
  it("starts no gang again while an unreported worker may run one of its tasks", async () => {
    const { simulation, reported } = await adoptHalfOfGang();
    reported.end(reported.running[0]!, "failed");
    await simulation.clock.advance(20_000);
    expect(simulation.countOverlaps()).to.equal(0);
    expect(countRunning(simulation, `${JOB}.0.0.`)).to.equal(2);
  });

  // Guards against storing only the adopted tasks of a gang as its placement.
  it("leaves the unreported workers of an adopted gang to the next holder", async () => {
    const { simulation, holder } = await adoptHalfOfGang();
    // The failure marks the job's progress, so that it is stored again.
    simulation.get("e").end(simulation.get("e").running[0]!, "failed");
    await simulation.clock.advance(1_000);
    holder.stop();
    simulation.startScheduler();
    await simulation.clock.advance(20_000);
    expect(simulation.countOverlaps()).to.equal(0);
    expect(countRunning(simulation, `${JOB}.0.0.`)).to.equal(2);
  });
});
