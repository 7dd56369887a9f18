/** Tests of the stored speeds: what a later lease holder uses, and failures of the row. */
import type { WorkerName } from "@coltsfootpond/common";
import { expect } from "chai";
import { CellSimulation } from "../cell_simulation.ts";
import type { LogFields } from "../log.ts";
import { decodeRow, encodeRow, SPEEDS_KEY, type SpeedsRow } from "../rows.ts";
import { createSpec, createStep } from "../test_fixtures.ts";
import { createSpeedsRow, readSpeedsRow } from "./speeds_row.ts";

const WORKERS = ["a", "b", "c", "d"];
const JOB = "00000000000000aa";

interface Line {
  readonly event: string;
  readonly fields: LogFields;
}

function recordLines(simulation: CellSimulation): Line[] {
  const lines: Line[] = [];
  const record = (event: string, fields: LogFields = {}) =>
    void lines.push({ event, fields });
  simulation.log = { info: record, warn: record };
  return lines;
}

function listStored(lines: readonly Line[]): readonly unknown[] {
  return lines.filter(({ event, fields }) =>
    event === "worker.speed_changed" && fields["basis"] === "stored"
  ).map(({ fields }) => fields["worker"]);
}

async function putSpeeds(
  simulation: CellSimulation,
  value: Uint8Array,
): Promise<void> {
  await simulation.store.transact({
    conditions: [],
    puts: [{ key: SPEEDS_KEY, value }],
    deletes: [],
  }, 1);
}

function readSpeeds(simulation: CellSimulation): SpeedsRow | undefined {
  const value = simulation.store.rows().get(SPEEDS_KEY)?.value;
  return value && decodeRow<SpeedsRow>(value);
}

/** Submits a job of single tasks, of which those on worker `a` take twice as long. */
async function submitWideJob(simulation: CellSimulation): Promise<void> {
  for (const name of WORKERS) simulation.get(name).taskDurationMs = 6_000;
  simulation.get("a").taskDurationMs = 12_000;
  await simulation.submit(createSpec(JOB, {
    steps: [createStep({ count: 200, estimateMs: 6_000 })],
    stretch: 10,
    allowanceMs: 60_000,
  }));
}

/** Submits a job with slack, and returns the worker on which it runs. */
async function runJobWithSlack(simulation: CellSimulation): Promise<string> {
  await simulation.submit(createSpec("00000000000000cc", { stretch: 9 }));
  await simulation.clock.advance(200);
  return simulation.history.at(-1)!.worker;
}

describe("the stored speeds", () => {
  // Guards against a new lease holder that places urgent gangs on slow workers until it has
  // samples of its own.
  it("are used by the next lease holder", async () => {
    const simulation = CellSimulation.create(WORKERS);
    const first = simulation.startScheduler();
    await submitWideJob(simulation);
    await simulation.clock.advance(12_000);
    simulation.stopScheduler(first);
    const lines = recordLines(simulation);
    simulation.startScheduler();
    await simulation.clock.advance(300);
    expect(listStored(lines)).to.deep.equal(["a"]);
  });

  // Guards against store traffic for rows that have not changed.
  it("are written at most once in 5 s, and not again when nothing has changed", async () => {
    const simulation = CellSimulation.create(WORKERS);
    const writtenMs: number[] = [];
    const { transact } = simulation.store;
    simulation.store.transact = (transaction, timeoutMs) => {
      if (transaction.puts.some(({ key }) => key === SPEEDS_KEY)) {
        writtenMs.push(simulation.clock.nowMs());
      }
      return transact(transaction, timeoutMs);
    };
    simulation.startScheduler();
    await submitWideJob(simulation);
    await simulation.clock.advance(9_000);
    for (const name of ["b", "c"]) {
      simulation.get(name).stalledFromMs = simulation.clock.nowMs();
      await simulation.clock.advance(2_000);
    }
    await simulation.clock.advance(16_000);
    expect(writtenMs.length).to.be.within(2, 5);
    const periodsMs = writtenMs.slice(1).map((ms, index) =>
      ms - writtenMs[index]!
    );
    expect(periodsMs.every((ms) => ms >= 5_000)).to.equal(true);
  });

  it("are not written while all workers are alike", async () => {
    const simulation = CellSimulation.create(WORKERS);
    simulation.startScheduler();
    await submitWideJob(simulation);
    simulation.get("a").taskDurationMs = 6_000;
    await simulation.clock.advance(12_000);
    expect(readSpeeds(simulation)).to.equal(undefined);
  });

  // Guards against a holder that cannot start, or a worker that counts as slow, because of a row
  // of another version.
  it("are ignored if they cannot be read", async () => {
    const values = [
      new Uint8Array([0xc1]),
      encodeRow({ unixMs: 0, workers: "a" } as unknown as SpeedsRow),
      encodeRow({ unixMs: 0, workers: [["a", 1, 0.5]] }),
    ];
    for (const value of values) {
      const simulation = CellSimulation.create(WORKERS);
      const lines = recordLines(simulation);
      await putSpeeds(simulation, value);
      simulation.startScheduler();
      await simulation.clock.advance(500);
      const events = lines.map(({ event }) => event);
      expect(events).to.include("worker.speeds_unreadable");
      expect(events).to.include("scheduler.ready");
      expect(events).not.to.include("worker.speed_changed");
    }
  });

  // Guards against starts that wait for the row, and a row that stays missing after an outage.
  it("are written later if the store refuses them, and nothing waits for them", async () => {
    const simulation = CellSimulation.create(WORKERS);
    const { transact } = simulation.store;
    let isRefused = true;
    simulation.store.transact = (transaction, timeoutMs) =>
      isRefused && transaction.puts.some(({ key }) => key === SPEEDS_KEY)
        ? Promise.resolve({
          kind: "unavailable",
          effect: "refused",
          reason: "test",
        })
        : transact(transaction, timeoutMs);
    const lines = recordLines(simulation);
    simulation.startScheduler();
    await submitWideJob(simulation);
    await simulation.clock.advance(22_000);
    const failures = lines.filter(({ event }) => event === "row.write_failed");
    expect(failures.length).to.be.at.least(1);
    expect(readSpeeds(simulation)).to.equal(undefined);
    expect(simulation.history.length).to.be.above(50);
    isRefused = false;
    await simulation.clock.advance(6_000);
    expect(readSpeeds(simulation)?.workers).to.deep.equal([["a", 1, -2]]);
  });

  const cases = [
    { name: "of the present incarnation", tag: 1, ageMs: 59_000, isUsed: true },
    { name: "of another incarnation", tag: 2, ageMs: 0, isUsed: false },
    { name: "older than a minute", tag: 1, ageMs: 61_000, isUsed: false },
    { name: "from the future", tag: 1, ageMs: -61_000, isUsed: false },
  ];
  for (const { name, tag, ageMs, isUsed } of cases) {
    // Guards against the speed of an earlier process, or of long ago.
    it(`${name} ${isUsed ? "decide" : "do not decide"} where units run`, async () => {
      const simulation = CellSimulation.create(WORKERS);
      await simulation.clock.advance(100_000);
      const unixMs = simulation.clock.nowMs() - ageMs;
      await putSpeeds(
        simulation,
        encodeRow({ unixMs, workers: [["c", tag, -3]] }),
      );
      simulation.startScheduler();
      await simulation.clock.advance(300);
      const worker = await runJobWithSlack(simulation);
      expect(worker).to.equal(isUsed ? "c" : "a");
    });
  }

  // Guards against the speed of a process that has ended meanwhile.
  it("do not apply to the next incarnation of a worker", async () => {
    const simulation = CellSimulation.create(WORKERS);
    await putSpeeds(
      simulation,
      encodeRow({ unixMs: 0, workers: [["c", 1, -3]] }),
    );
    simulation.startScheduler();
    await simulation.clock.advance(300);
    simulation.get("c").restart();
    await simulation.clock.advance(4_000);
    expect(await runJobWithSlack(simulation)).to.equal("a");
  });

  // Guards against a row that the store refuses for its size.
  it("fit into a row of 64 KiB with 3,900 workers, the most different ones first", () => {
    for (const nameLength of [8, 12, 24, 60]) {
      const classified = Array.from({ length: 3_900 }, (_, number) => ({
        worker: `${number}`.padStart(nameLength, "w") as WorkerName,
        incarnationStartUnixMs: 1_796_000_000_000 + number,
        speedClass: number % 2 === 0 ? -2 : -1,
      }));
      const value = encodeRow(createSpeedsRow(classified, 1_796_000_000_000));
      expect(value.byteLength).to.be.below(64 * 1_024);
      const row = readSpeedsRow(value, 1_796_000_000_000)!;
      const classes = row.workers.map(([, , speedClass]) => speedClass);
      expect(classes).to.deep.equal([...classes].sort((a, b) => a - b));
    }
  });
});
