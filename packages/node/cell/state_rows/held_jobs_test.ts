/** Tests of the lease holder with rows of jobs that cannot be decoded. */
import type { CellJobId } from "@coltsfootpond/policy";
import { expect } from "chai";
import { pack } from "msgpackr";
import { CellSimulation } from "../cell_simulation.ts";
import { collectUnhandledErrors } from "../fakes/unhandled_errors.ts";
import { encodeRow, jobKey } from "../rows.ts";
import { createSpec, createStep, type StoreFake } from "../test_fixtures.ts";

const GOOD = "00000000000000cc" as CellJobId;
const LATER_STATE = pack({ kind: "suspended", sinceUnixMs: 0 });
const BAD_VALUES = [
  new Uint8Array([0xc1, 1, 2]),
  LATER_STATE,
  pack([1, 2]),
  pack(null),
  encodeRow({ kind: "live", spec: createSpec(GOOD) }).subarray(0, 40),
];

async function put(
  store: StoreFake,
  ...rows: readonly (readonly [key: string, value: Uint8Array])[]
): Promise<void> {
  const puts = rows.map(([key, value]) => ({ key, value }));
  await store.transact({ conditions: [], puts, deletes: [] }, 1);
}

describe("a job's row that cannot be decoded", () => {
  // Guards against one such row that ends each lease holder's process, so that no job starts.
  it("does not keep the lease holder from starting other jobs", async () => {
    const simulation = CellSimulation.create(["a", "b"]);
    const other = createSpec("0000000000000aaa");
    await put(
      simulation.store,
      ...BAD_VALUES.map((value, index) =>
        [jobKey(`0${index}`.padEnd(16, "b") as CellJobId), value] as const
      ),
      // A job's row under the key of another one.
      [
        jobKey("00000000000000bb" as CellJobId),
        encodeRow({ kind: "live", spec: createSpec(GOOD) }),
      ],
    );
    await simulation.submit(other);
    const errors = await collectUnhandledErrors(async () => {
      simulation.startScheduler();
      await simulation.clock.advance(1_000);
    });
    expect(errors).to.deep.equal([]);
    expect(simulation.history.map(({ task }) => task)).to.deep.equal([
      `${other.jobId}.0.0.0`,
    ]);
  });

  // Guards against a finished task that runs again once the row can be decoded, and against runs of
  // a job that may have been cancelled.
  it("holds its job if that runs, and does not lose its progress", async () => {
    const simulation = CellSimulation.create(["a", "b"]);
    const { clock, store } = simulation;
    const spec = createSpec(GOOD, { steps: [createStep({ count: 2 })] });
    const live = encodeRow({ kind: "live", spec });
    await simulation.submit(spec);
    simulation.startScheduler();
    await clock.advance(1_000);
    const running = [...simulation.workers.values()].find((worker) =>
      worker.running.length > 0
    )!;
    const [done] = running.running;
    const errors = await collectUnhandledErrors(async () => {
      await put(store, [jobKey(GOOD), LATER_STATE]);
      running.end(done!, "done");
      await clock.advance(1_000);
    });
    expect(errors).to.deep.equal([]);
    const listRunning = () =>
      [...simulation.workers.values()].flatMap((worker) => worker.running);
    expect(listRunning()).to.deep.equal([]);
    expect(simulation.history).to.have.lengthOf(2);
    await put(store, [jobKey(GOOD), live]);
    await clock.advance(1_000);
    expect(listRunning()).to.have.lengthOf(1);
    expect(listRunning()).to.not.include(done);
    simulation.workers.forEach((worker) =>
      worker.running.forEach((task) => worker.end(task, "done"))
    );
    await clock.advance(1_000);
    expect(simulation.readJob(spec)).to.include({ state: "completed" });
    expect(simulation.runsOf(done!)).to.have.lengthOf(1);
  });

  // Guards against a job that is lost: its end conflicts with the row, and its progress is deleted.
  it("keeps the progress of its job if the end cannot be stored", async () => {
    const simulation = CellSimulation.create(["a", "b"]);
    const { clock, store } = simulation;
    const spec = createSpec(GOOD);
    await simulation.submit(spec);
    simulation.startScheduler();
    await clock.advance(1_000);
    // The lease holder's copy does not have the row yet when it stores the end.
    store.read = () =>
      Promise.resolve({ kind: "unavailable", effect: "lost", reason: "test" });
    await put(store, [jobKey(GOOD), LATER_STATE]);
    simulation.workers.forEach((worker) =>
      worker.running.forEach((task) => worker.end(task, "done"))
    );
    await clock.advance(2_000);
    expect(store.keys()).to.include(`progress/${GOOD}`);
    await put(store, [jobKey(GOOD), encodeRow({ kind: "live", spec })]);
    store.read = createReader(store);
    await clock.advance(2_000);
    expect(simulation.readJob(spec)).to.include({ state: "completed" });
    expect(simulation.history).to.have.lengthOf(1);
  });
});

/** Reads the whole table, whatever the range. */
function createReader(store: StoreFake): StoreFake["read"] {
  return () => {
    const rows = [...store.rows().values()];
    const version = Math.max(0, ...rows.map((row) => row.version));
    return Promise.resolve({ kind: "rows", rows, version });
  };
}
