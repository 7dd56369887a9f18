/** Tests of progress that is stored in several rows. */
import { ManualClock, type WorkerName } from "@coltsfootpond/common";
import type { CellJobId } from "@coltsfootpond/policy";
import type {
  StateRow,
  StateTransaction,
  TransactOutcome,
} from "@coltsfootpond/ports";
import { expect } from "chai";
import { CellSimulation } from "../cell_simulation.ts";
import type { LiveJob } from "../live_job.ts";
import { SILENT_LOG } from "../log.ts";
import { ProgressWriter } from "../progress_writer.ts";
import {
  encodeRow,
  jobKey,
  type PlacementRecord,
  progressKey,
  progressPartKey,
} from "../rows.ts";
import {
  createFollower,
  createJob,
  createSpec,
  createStep,
  createStoreFake,
  NO_OTHER_RUNS,
} from "../test_fixtures.ts";
import {
  countParts,
  decodeProgressRow,
  encodeProgress,
  joinProgress,
} from "./progress_row.ts";

const JOB = "00000000000000cc" as CellJobId;
const OTHER = "0000000000000aaa" as CellJobId;
const ROW_LIMIT_BYTES = 65_536;
const TASKS = 5_000;
const SPEC = createSpec(JOB, { steps: [createStep({ count: TASKS })] });
const PLACEMENTS = Array.from(
  { length: TASKS },
  (_, index): PlacementRecord => [
    `0.0.${index}`,
    7_000_001 + index,
    [`worker-${index}` as WorkerName],
    [1_764_910_000_001],
  ],
);
const ROW = {
  writeId: "w1",
  record: { "0.0": { done: [], failures: [], checkpoints: [] } },
  placements: PLACEMENTS,
};

function encode(row = ROW): readonly Uint8Array[] {
  return encodeProgress(row, SPEC, ROW_LIMIT_BYTES);
}

function createWriter() {
  const clock = ManualClock.create();
  const store = createStoreFake();
  const state = { isNextLost: false, rejected: 0, newerHolders: 0 };
  const writer = ProgressWriter.create({
    store: {
      ...store,
      transact: async (transaction, timeoutMs): Promise<TransactOutcome> => {
        checkLimits(transaction);
        const outcome = await store.transact(transaction, timeoutMs);
        if (!state.isNextLost) return outcome;
        state.isNextLost = false;
        return { kind: "unavailable", effect: "lost", reason: "test" };
      },
    },
    follower: createFollower(store, clock),
    clock,
    nowUnixMs: () => 0,
    log: SILENT_LOG,
    canAct: () => true,
    rowLimitBytes: ROW_LIMIT_BYTES,
    findOtherRuns: () => NO_OTHER_RUNS,
    snapshotProcessedEnds: () => () => {},
    onClosed: () => {},
    onPlaced: () => {},
    onRejected: () => state.rejected++,
    onNewerHolder: () => state.newerHolders++,
  });
  return { clock, store, state, writer };
}

/** The store's limits, with values in base64. */
function checkLimits(
  { conditions, puts, deletes }: StateTransaction,
): void {
  const sizes = puts.map(({ value }) => value.byteLength * 4 / 3);
  expect(Math.max(0, ...sizes)).to.be.at.most(ROW_LIMIT_BYTES);
  const bytes = sizes.reduce((sum, size) => sum + size, 0);
  expect(bytes).to.be.at.most(1_000_000);
  const entries = conditions.length + puts.length + deletes.length;
  expect(entries).to.be.at.most(100);
}

function setCheckpoint(job: LiveJob, bytes: number): void {
  const unit = { occurrence: 0, step: 0, index: 0 };
  job.progress.recordCheckpoint(unit, "x".repeat(bytes));
}

/** Length of the checkpoint that a later holder reads; undefined when the progress is unreadable. */
function readCheckpointLength(
  rows: ReadonlyMap<string, StateRow>,
  { jobId, spec }: LiveJob,
): number | undefined {
  const first = rows.get(progressKey(jobId))!.value!;
  const whole = joinProgress(
    first,
    (part) => rows.get(progressPartKey(jobId, part))?.value,
  );
  const row = whole && decodeProgressRow(whole, spec);
  return row?.record["0.0"]?.checkpoints[0]?.[1].length;
}

describe("progress that is too large for one row", () => {
  // Guards against a job of some thousand tasks whose placements can't be stored.
  it("is stored in one transaction, and read as one row", () => {
    const values = encode();
    expect(values.length).to.be.greaterThan(2);
    checkLimits({
      conditions: [],
      puts: values.map((value) => ({ key: "", value })),
      deletes: [],
    });
    const whole = joinProgress(values[0]!, (part) => values[part])!;
    expect(decodeProgressRow(whole, SPEC)).to.deep.equal(ROW);
  });

  // Guards against progress that is put together from two writes: tasks that are done would run again.
  it("is not read from rows of different writes, nor when one is missing", () => {
    const values = encode();
    const others = encode({ ...ROW, writeId: "w2" });
    const join = (change: (part: number) => Uint8Array | undefined) =>
      joinProgress(values[0]!, change);
    for (let odd = 1; odd < values.length; odd++) {
      const replace = (value: Uint8Array | undefined) => (part: number) =>
        part === odd ? value : values[part];
      expect(join(replace(undefined))).to.equal(undefined);
      expect(join(replace(others[odd]))).to.equal(undefined);
      expect(join(replace(values[odd - 1]))).to.equal(undefined);
      expect(join(replace(encodeRow(ROW)))).to.equal(undefined);
      expect(join(replace(new Uint8Array([0xc1])))).to.equal(undefined);
    }
    // An earlier version skips the job, as for any row that it can't decode.
    expect(decodeProgressRow(values[0]!, SPEC)).to.equal(undefined);
  });

  it("has fewer rows once it is smaller, and none once the job has ended", async () => {
    const { clock, store, state, writer } = createWriter();
    const job = createJob(JOB);
    const other = createJob(OTHER);
    for (const bytes of [600_000, 150_000, 10, 300_000]) {
      setCheckpoint(job, bytes);
      // The write takes effect, and its answer is lost.
      state.isNextLost = bytes === 600_000;
      writer.mark(job, true);
      await clock.advance(1_000);
      const parts = countParts(store.rows().get(progressKey(JOB))!.value!);
      expect(store.keys()).to.have.length(1 + parts);
      expect(readCheckpointLength(store.rows(), job)).to.equal(bytes);
    }
    expect(state).to.include({ rejected: 0, newerHolders: 0 });
    writer.forget(job);
    writer.mark(other, true);
    await clock.advance(1_000);
    expect(store.keys()).to.deep.equal([progressKey(OTHER)]);
  });

  // Guards against a later lease holder that does not know where tasks may be running, and against
  // tasks that are done and run again.
  it("is continued by the next lease holder, once the copy has all its rows", async () => {
    const simulation = CellSimulation.create(["a", "b"]);
    const { clock, store } = simulation;
    const spec = createSpec(JOB, { steps: [createStep({ count: 2 })] });
    await simulation.submit(spec);
    const values = encodeProgress(
      {
        writeId: "w",
        record: {
          "0.0": {
            done: [0],
            failures: [],
            checkpoints: [[1, "x".repeat(2 * ROW_LIMIT_BYTES)]],
          },
        },
        placements: [],
      },
      spec,
      ROW_LIMIT_BYTES,
    );
    const keys = values.map((_, part) =>
      part === 0 ? progressKey(JOB) : progressPartKey(JOB, part)
    );
    const put = async (from: number, to: number) => {
      const puts = values.slice(from, to).map((value, position) => ({
        key: keys[from + position]!,
        value,
      }));
      await store.transact({ conditions: [], puts, deletes: [] }, 1);
    };
    await put(0, 2);
    simulation.startScheduler();
    await clock.advance(1_000);
    expect(simulation.history).to.deep.equal([]);
    await put(2, values.length);
    await clock.advance(500);
    expect(simulation.history.map(({ task }) => task)).to.deep.equal([
      `${JOB}.0.0.1`,
    ]);
    await clock.advance(10_000);
    expect(store.rows().has(jobKey(JOB))).to.equal(true);
  });
});
