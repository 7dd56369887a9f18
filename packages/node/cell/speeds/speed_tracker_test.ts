/** Tests of the estimated speeds in the simulated cell. */
import { expect } from "chai";
import { CellSimulation } from "../cell_simulation.ts";
import type { LogFields } from "../log.ts";
import { SPEEDS_KEY } from "../rows.ts";
import { createSpec, createStep } from "../test_fixtures.ts";

const WIDE_JOB = "00000000000000aa";
const URGENT_JOB = "00000000000000bb";
const TASK_MS = 6_000;
const WORKERS = ["a", "b", "c", "d", "e", "f", "g", "h"];

/** Records the lines of `worker.speed_changed`. */
function recordChanges(simulation: CellSimulation): readonly LogFields[] {
  const lines: LogFields[] = [];
  simulation.log = {
    info: (event, fields = {}) => {
      if (event === "worker.speed_changed") lines.push(fields);
    },
    warn: () => {},
  };
  return lines;
}

/** A cell of which the named workers take twice as long for a task as the others. */
function createCell(slow: readonly string[]): CellSimulation {
  const simulation = CellSimulation.create(WORKERS);
  for (const name of WORKERS) {
    simulation.get(name).taskDurationMs = slow.includes(name)
      ? 2 * TASK_MS
      : TASK_MS;
  }
  return simulation;
}

/** A job of single tasks that fills all workers several times. */
function createWideJob() {
  const step = createStep({ count: 192, estimateMs: TASK_MS });
  return createSpec(WIDE_JOB, {
    steps: [step],
    stretch: 10,
    allowanceMs: 60_000,
  });
}

/** An urgent gang that is late on slow workers. */
function createUrgentJob(nowMs: number) {
  return createSpec(URGENT_JOB, {
    priority: 0,
    stretch: 1.5,
    allowanceMs: 200,
    acceptedUnixMs: nowMs,
    steps: [createStep({ count: 3, isGang: true, estimateMs: 2_000 })],
  });
}

describe("the speeds of workers", () => {
  // Guards against urgent gangs that are as slow as the slowest worker in the cell.
  it("decide where an urgent gang runs", async () => {
    const slow = ["a", "b", "c"];
    const simulation = createCell(slow);
    const changes = recordChanges(simulation);
    simulation.startScheduler();
    await simulation.submit(createWideJob());
    await simulation.clock.advance(10_000);
    expect(changes.map(({ worker }) => worker)).to.have.members(slow);
    expect(changes.map(({ speed }) => speed)).to.deep.equal([0.44, 0.44, 0.44]);
    await simulation.submit(createUrgentJob(simulation.clock.nowMs()));
    await simulation.clock.advance(2_500);
    const workers = simulation.history.filter(({ task }) =>
      task.startsWith(URGENT_JOB)
    ).map(({ worker }) => worker);
    expect(workers).to.have.length(3);
    expect(slow).not.to.include.members(workers);
  });

  // Guards against another choice of workers for all units because one worker seems slow.
  it("do not decide where units run while few workers differ", async () => {
    const simulation = createCell(["a"]);
    const changes = recordChanges(simulation);
    simulation.startScheduler();
    await simulation.submit(createWideJob());
    await simulation.clock.advance(60_000);
    expect(changes.map(({ worker }) => worker)).to.deep.equal(["a"]);
    expect(simulation.store.keys()).not.to.include(SPEEDS_KEY);
    // All workers are free again, so that the first one is preferred.
    await simulation.submit(createUrgentJob(simulation.clock.nowMs()));
    await simulation.clock.advance(2_500);
    const workers = simulation.history.filter(({ task }) =>
      task.startsWith(URGENT_JOB)
    ).map(({ worker }) => worker);
    expect(workers).to.include("a");
  });

  // Guards against decisions by noise where all workers are alike.
  it("stay the same where all workers are alike", async () => {
    const simulation = createCell([]);
    const changes = recordChanges(simulation);
    simulation.startScheduler();
    await simulation.submit(createWideJob());
    await simulation.clock.advance(20_000);
    expect(changes).to.deep.equal([]);
  });

  // Guards against starts on a worker that makes no progress any more.
  it("show within two seconds that a worker has stopped making progress", async () => {
    const simulation = createCell([]);
    const changes = recordChanges(simulation);
    simulation.startScheduler();
    await simulation.submit(createWideJob());
    await simulation.clock.advance(9_000);
    simulation.get("b").stalledFromMs = simulation.clock.nowMs();
    await simulation.clock.advance(2_000);
    expect(changes.map(({ worker }) => worker)).to.include("b");
    expect(changes.every(({ speed }) => Number(speed) < 0.6)).to.equal(true);
  });

  // Guards against the speed of an earlier incarnation, which may have run on other hardware.
  it("start anew when a worker restarts", async () => {
    const simulation = createCell(["a"]);
    const changes = recordChanges(simulation);
    simulation.startScheduler();
    await simulation.submit(createWideJob());
    await simulation.clock.advance(10_000);
    expect(changes.map(({ worker }) => worker)).to.deep.equal(["a"]);
    const worker = simulation.get("a");
    worker.taskDurationMs = TASK_MS;
    worker.restart();
    await simulation.clock.advance(20_000);
    const restarted = changes.filter(({ incarnationStartUnixMs }) =>
      incarnationStartUnixMs !== 1
    );
    expect(restarted).to.deep.equal([]);
  });
});
