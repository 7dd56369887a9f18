import { expect } from "chai";
import type { CellJobId } from "@coltsfootpond/policy";
import type { StartOutcome, TransactOutcome } from "@coltsfootpond/ports";
import type { CellScheduler } from "../cell_scheduler.ts";
import { CellSimulation } from "../cell_simulation.ts";
import {
  BEGUN_KEY,
  type BegunJobsRow,
  decodeRow,
  encodeRow,
  progressKey,
} from "../rows.ts";
import { createSpec, createStep } from "../test_fixtures.ts";

const JOB = "00000000000000cc" as CellJobId;
const OTHER = "0000000000000aaa" as CellJobId;
/** Longer than the period at which the list is written. */
const LIST_MS = 1_500;
/** Every lease has lapsed. */
const LAPSED_MS = 10_000;
const REFUSED: StartOutcome = { kind: "refused", reason: "unhealthy" };
/** A task that takes a whole worker. */
const LARGE_NEED = { cpuMilli: 8_000, memoryMib: 8_000, accelerators: 8 };

function listBegun({ store }: CellSimulation): readonly CellJobId[] {
  const value = store.rows().get(BEGUN_KEY)?.value;
  return value === undefined ? [] : decodeRow<BegunJobsRow>(value).jobIds;
}

function refuseStarts(simulation: CellSimulation, ...names: string[]): void {
  for (const name of names) {
    simulation.get(name).start = () => REFUSED;
  }
}

async function submit(
  simulation: CellSimulation,
  step = createStep(),
): Promise<void> {
  await simulation.submit(createSpec(JOB, { steps: [step] }));
}

async function startCell(
  ...names: string[]
): Promise<{ simulation: CellSimulation; scheduler: CellScheduler }> {
  const simulation = CellSimulation.create(names);
  const scheduler = simulation.startScheduler();
  await simulation.clock.advance(LIST_MS);
  return { simulation, scheduler };
}

async function putList(
  { store }: CellSimulation,
  jobIds: readonly CellJobId[],
): Promise<void> {
  const value = encodeRow({ jobIds });
  await store.transact({
    conditions: [],
    puts: [{ key: BEGUN_KEY, value }],
    deletes: [],
  }, 1);
}

async function deleteList({ store }: CellSimulation): Promise<void> {
  await store.transact({ conditions: [], puts: [], deletes: [BEGUN_KEY] }, 1);
}

/** The next lease holder lists the jobs that have begun. */
async function replaceScheduler(
  simulation: CellSimulation,
  scheduler: CellScheduler,
): Promise<void> {
  simulation.stopScheduler(scheduler);
  simulation.startScheduler();
  await simulation.clock.advance(LIST_MS);
}

describe("the list of begun jobs", () => {
  // Guards against a count of pending jobs that leaves out those whose starts are refused.
  it("has no job of which all starts are refused, also for the next holder", async () => {
    const { simulation, scheduler } = await startCell("a", "b");
    refuseStarts(simulation, "a", "b");
    await submit(simulation);
    await simulation.clock.advance(LIST_MS);
    expect(simulation.store.rows().get(progressKey(JOB))).not.to.equal(
      undefined,
    );
    expect(listBegun(simulation)).to.deep.equal([]);
    await replaceScheduler(simulation, scheduler);
    expect(listBegun(simulation)).to.deep.equal([]);
  });

  it("has no job of which no start was answered or carried out", async () => {
    const { simulation } = await startCell("a");
    await submit(simulation);
    simulation.get("a").isDisconnected = true;
    await simulation.clock.advance(LIST_MS);
    expect(listBegun(simulation)).to.deep.equal([]);
  });

  it("has no job whose placement was taken back before it was stored", async () => {
    const { simulation } = await startCell("a");
    await submit(simulation);
    const { transact } = simulation.store;
    simulation.store.transact = (...call): Promise<TransactOutcome> =>
      call[0].puts.some(({ key }) => key === progressKey(JOB))
        ? Promise.resolve({ kind: "rejected", reason: "test" })
        : transact(...call);
    await simulation.clock.advance(LIST_MS);
    expect(simulation.history).to.deep.equal([]);
    expect(listBegun(simulation)).to.deep.equal([]);
  });

  it("has a job once a start is accepted, also one of a gang of which a part is refused", async () => {
    const { simulation } = await startCell("a", "b");
    refuseStarts(simulation, "b");
    await submit(
      simulation,
      createStep({ count: 2, isGang: true, need: LARGE_NEED }),
    );
    await simulation.clock.advance(LIST_MS);
    expect(simulation.history.length).to.be.greaterThan(0);
    expect(listBegun(simulation)).to.deep.equal([JOB]);
  });

  it("has a job whose start was not answered once a report lists the run", async () => {
    const { simulation } = await startCell("a");
    simulation.get("a").losesAnswers = true;
    await submit(simulation);
    await simulation.clock.advance(700);
    simulation.get("a").losesAnswers = false;
    await simulation.clock.advance(LIST_MS);
    expect(simulation.history.length).to.be.greaterThan(0);
    expect(listBegun(simulation)).to.deep.equal([JOB]);
  });

  // Guards against a job that is shown as running and then as queued.
  it("keeps a job whose worker is gone when the lease changes hands", async () => {
    const { simulation, scheduler } = await startCell("a");
    await submit(simulation);
    await simulation.clock.advance(LIST_MS);
    expect(listBegun(simulation)).to.deep.equal([JOB]);
    simulation.get("a").isDisconnected = true;
    await simulation.clock.advance(LAPSED_MS);
    expect(listBegun(simulation)).to.deep.equal([JOB]);
    await replaceScheduler(simulation, scheduler);
    expect(listBegun(simulation)).to.deep.equal([JOB]);
  });

  // Guards against a job that waits again once the next holder overwrites a late write of this one.
  it("keeps a job that an earlier holder's write lists later", async () => {
    const { simulation, scheduler } = await startCell("a", "b");
    refuseStarts(simulation, "a");
    await submit(simulation, createStep({ requiredLabel: "a" }));
    await replaceScheduler(simulation, scheduler);
    await putList(simulation, [JOB]);
    const steps = [createStep({ requiredLabel: "b" })];
    await simulation.submit(createSpec(OTHER, { steps }));
    await simulation.clock.advance(LIST_MS);
    expect(listBegun(simulation)).to.have.members([JOB, OTHER]);
  });

  it("has a job whose run the next holder adopts", async () => {
    const { simulation, scheduler } = await startCell("a");
    await submit(simulation);
    await simulation.clock.advance(LIST_MS);
    await deleteList(simulation);
    await replaceScheduler(simulation, scheduler);
    expect(listBegun(simulation)).to.deep.equal([JOB]);
  });

  it("has a job whose stored progress shows that a task has run", async () => {
    const { simulation, scheduler } = await startCell("a");
    await submit(simulation, createStep({ count: 2, need: LARGE_NEED }));
    await simulation.clock.advance(LIST_MS);
    const worker = simulation.get("a");
    refuseStarts(simulation, "a");
    worker.end(worker.running[0]!, "failed");
    await simulation.clock.advance(LIST_MS);
    await deleteList(simulation);
    await replaceScheduler(simulation, scheduler);
    expect(simulation.history).to.have.length(1);
    expect(listBegun(simulation)).to.deep.equal([JOB]);
  });

  // Rows of earlier versions list jobs that were placed.
  it("keeps what the row of an earlier version lists", async () => {
    const { simulation, scheduler } = await startCell("a");
    refuseStarts(simulation, "a");
    await submit(simulation);
    await simulation.clock.advance(LIST_MS);
    await putList(simulation, [JOB]);
    await replaceScheduler(simulation, scheduler);
    expect(listBegun(simulation)).to.deep.equal([JOB]);
  });
});
