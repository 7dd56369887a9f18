/** Tests of jobs whose stored progress cannot be decoded. */
import { ManualClock } from "@coltsfootpond/common";
import { type CellJobId, UrgentDemand } from "@coltsfootpond/policy";
import { expect } from "chai";
import { pack } from "msgpackr";
import { CellSimulation } from "../cell_simulation.ts";
import { collectUnhandledErrors } from "../fakes/unhandled_errors.ts";
import { JobRegistry } from "../job_registry.ts";
import { SILENT_LOG } from "../log.ts";
import { BEGUN_KEY, encodeRow, jobKey, progressKey } from "../rows.ts";
import {
  createFollower,
  createSpec,
  createStep,
  createStoreFake,
} from "../test_fixtures.ts";

const JOB = "00000000000000cc" as CellJobId;
const OTHER = "0000000000000aaa" as CellJobId;
const SPEC = createSpec(JOB, { steps: [createStep({ count: 2 })] });
/** An earlier holder has placed no task; one is done. */
const PROGRESS = encodeRow({
  writeId: "w",
  record: { "0.0": { done: [0], failures: [], checkpoints: [] } },
  placements: [],
});
const BAD_VALUES = [
  new Uint8Array([0xc1, 1, 2]),
  PROGRESS.subarray(0, 20),
  pack(null),
  pack({ kind: "compact", done: "0.0.0" }),
  pack({ writeId: "w", record: {}, placements: 1 }),
  // A step that the job does not have.
  encodeRow({
    writeId: "w",
    record: { "0.7": { done: [], failures: [[0, 1]], checkpoints: [] } },
    placements: [],
  }),
];

async function putProgress(
  { store }: CellSimulation,
  value: Uint8Array | undefined,
): Promise<void> {
  const key = progressKey(JOB);
  await store.transact({
    conditions: [],
    puts: value === undefined ? [] : [{ key, value }],
    deletes: value === undefined ? [key] : [],
  }, 1);
}

/** A cell with a job that can run and one whose progress has this value. */
async function startCell(value: Uint8Array): Promise<CellSimulation> {
  const simulation = CellSimulation.create(["a", "b"]);
  await simulation.submit(SPEC);
  await simulation.submit(createSpec(OTHER));
  await putProgress(simulation, value);
  simulation.startScheduler();
  await simulation.clock.advance(1_000);
  return simulation;
}

function listStarted({ history }: CellSimulation): readonly string[] {
  return history.map(({ task }) => task).sort();
}

describe("a job whose progress cannot be decoded", () => {
  // Guards against one such row that ends each lease holder's process, so that no job starts, and
  // against a finished task that runs again.
  it("is not started, and does not keep others from it", async () => {
    for (const value of BAD_VALUES) {
      const errors = await collectUnhandledErrors(async () => {
        const simulation = await startCell(value);
        expect(listStarted(simulation)).to.deep.equal([`${OTHER}.0.0.0`]);
        // Callers see it as running, as tasks of it have begun.
        expect(simulation.store.rows().get(BEGUN_KEY)?.value).to.deep.equal(
          encodeRow({ jobIds: [OTHER, JOB] }),
        );
      });
      expect(errors).to.deep.equal([]);
    }
  });

  it("goes on from its progress once that can be decoded", async () => {
    const simulation = await startCell(BAD_VALUES[0]!);
    await putProgress(simulation, PROGRESS);
    await simulation.clock.advance(1_000);
    expect(listStarted(simulation)).to.deep.equal([
      `${OTHER}.0.0.0`,
      `${JOB}.0.0.1`,
    ].sort());
  });

  it("is opened without progress once an operator has deleted the row", () => {
    const clock = ManualClock.create();
    const follower = createFollower(createStoreFake(), clock);
    const jobs = JobRegistry.create({
      follower,
      clock,
      nowUnixMs: () => 0,
      log: SILENT_LOG,
      writer: { mark: () => {}, forget: () => {} },
      closeRun: () => {},
      urgentDemand: UrgentDemand.create(),
      onTaskDone: () => {},
    });
    follower.changes.subscribe((rows) => jobs.applyRows(rows));
    const [value] = BAD_VALUES;
    const key = progressKey(JOB);
    const live = encodeRow({ kind: "live", spec: SPEC });
    follower.apply([{ key, version: 1, value }]);
    follower.apply([{ key: jobKey(JOB), version: 2, value: live }]);
    expect(jobs.jobs).to.deep.equal([]);
    follower.apply([{ key, version: 3, value: undefined }]);
    expect(jobs.jobs.map(({ units }) => units.size)).to.deep.equal([2]);
  });

  it("stays as it is when it is cancelled, and is not started later", async () => {
    const simulation = await startCell(BAD_VALUES[0]!);
    await simulation.cancel(SPEC);
    await simulation.clock.advance(1_000);
    await putProgress(simulation, PROGRESS);
    await simulation.clock.advance(1_000);
    expect(listStarted(simulation)).to.deep.equal([`${OTHER}.0.0.0`]);
  });

  // Guards against a rejection in the writer that ends the process, once another writer has changed
  // the row of a running job.
  it("makes the lease holder step down, and the next one skips it", async () => {
    for (const value of BAD_VALUES) {
      const simulation = CellSimulation.create(["a", "b"]);
      const { clock } = simulation;
      let stops = 0;
      await simulation.submit(SPEC);
      simulation.startScheduler(() => true, () => stops++);
      await clock.advance(1_000);
      const running = [...simulation.workers.values()].find((worker) =>
        worker.running.length > 0
      )!;
      const [done] = running.running;
      const errors = await collectUnhandledErrors(async () => {
        await putProgress(simulation, value);
        running.end(done!, "done");
        await clock.advance(2_000);
        expect(stops).to.equal(1);
        simulation.startScheduler();
        await clock.advance(2_000);
      });
      expect(errors).to.deep.equal([]);
      expect(simulation.runsOf(done!)).to.have.lengthOf(1);
      expect(simulation.store.rows().get(progressKey(JOB))?.value).to.equal(
        value,
      );
    }
  });
});
