/** Tests of quotas in the simulated cell, with lost answers, holder changes and changed quotas. */
import type { OrganisationName } from "@coltsfootpond/common";
import { expect } from "chai";
import { CellSimulation } from "../cell_simulation.ts";
import type { LogFields } from "../log.ts";
import { createSpec, createStep } from "../test_fixtures.ts";
import { MAXIMUM_ORGANISATIONS } from "./organisation_gauges.ts";

const A = "a" as OrganisationName;
const JOB = "00000000000000aa";
const OTHER_JOB = "00000000000000bb";

/** A cell in which organisation a may use this many accelerators. */
function createCell(workers: readonly string[], accelerators: number) {
  const simulation = CellSimulation.create(workers);
  declareQuota(simulation, accelerators);
  return simulation;
}

function declareQuota(simulation: CellSimulation, accelerators: number): void {
  const quota = { cpuMilli: 0, memoryMib: 0, accelerators };
  simulation.declareShares([{ organisation: A, weight: undefined, quota }]);
}

/** A job of single tasks with one accelerator each. */
function createTasks(jobId: string, count: number) {
  const steps = [createStep({ count })];
  return createSpec(jobId, { organisation: A, steps });
}

/** Runs that have started and not ended on the workers, whatever the scheduler knows. */
function countRunning(simulation: CellSimulation): number {
  return simulation.history.filter(({ endedMs }) => endedMs === undefined)
    .length;
}

/** The most runs at once since the beginning. */
function countMost(simulation: CellSimulation): number {
  return Math.max(
    0,
    ...simulation.history.map(({ startedMs }) =>
      simulation.history.filter((other) =>
        other.startedMs <= startedMs && (other.endedMs ?? Infinity) > startedMs
      ).length
    ),
  );
}

function endAll(simulation: CellSimulation): void {
  for (const worker of simulation.workers.values()) {
    worker.running.forEach((task) => worker.end(task, "done"));
  }
}

describe("a quota in the cell", () => {
  // Guards against a wide step of single tasks that never runs, or runs all at once.
  it("lets a wide step of single tasks run in waves", async () => {
    const simulation = createCell(["a", "b"], 3);
    simulation.startScheduler();
    await simulation.submit(createTasks(JOB, 7));
    for (let wave = 0; wave < 3; wave++) {
      // Longer than a long poll, so that a report lists the runs before they end.
      await simulation.clock.advance(2_000);
      endAll(simulation);
    }
    await simulation.clock.advance(1_000);
    expect(countMost(simulation)).to.equal(3);
    expect(simulation.readJob(createTasks(JOB, 7))?.kind).to.equal("ended");
  });

  // Guards against starts whose answers are lost and which therefore don't count.
  it("counts starts that were not answered", async () => {
    const simulation = createCell(["a", "b"], 3);
    simulation.startScheduler();
    await simulation.clock.advance(1_000);
    simulation.get("a").losesAnswers = true;
    simulation.get("b").losesAnswers = true;
    await simulation.submit(createTasks(JOB, 9));
    await simulation.clock.advance(15_000);
    expect(countMost(simulation)).to.be.within(1, 3);
  });

  // Guards against runs that no longer count while their worker is unreachable with a lease.
  it("counts the runs of a worker that does not answer until its lease has ended", async () => {
    const simulation = createCell(["a", "b"], 3);
    simulation.startScheduler();
    await simulation.submit(createTasks(JOB, 9));
    await simulation.clock.advance(1_000);
    expect(countRunning(simulation)).to.equal(3);
    const lost = [...simulation.workers.values()].find(({ running }) =>
      running.length > 0
    )!;
    lost.isDisconnected = true;
    await simulation.clock.advance(12_000);
    expect(countMost(simulation)).to.equal(3);
    expect(countRunning(simulation)).to.equal(3);
  });

  // Guards against a new holder that counts only what has been reported to it.
  it("counts the placements of an earlier holder on unreported workers", async () => {
    const simulation = createCell(["a", "b"], 3);
    const first = simulation.startScheduler();
    await simulation.submit(createTasks(JOB, 3));
    await simulation.clock.advance(1_000);
    expect(countRunning(simulation)).to.equal(3);
    simulation.workers.forEach((worker) => {
      if (worker.running.length > 0) worker.isDisconnected = true;
    });
    simulation.stopScheduler(first);
    simulation.addWorker("c");
    await simulation.submit(createTasks(OTHER_JOB, 3));
    simulation.startScheduler();
    await simulation.clock.advance(12_000);
    expect(countMost(simulation)).to.equal(3);
    expect(countRunning(simulation)).to.equal(3);
  });

  // Guards against a placement of an ended job that is forgotten while its run goes on.
  it("counts the placements of an earlier holder although their job is cancelled", async () => {
    const simulation = createCell(["a"], 3);
    const first = simulation.startScheduler();
    const spec = createTasks(JOB, 3);
    await simulation.submit(spec);
    await simulation.clock.advance(1_000);
    simulation.get("a").isDisconnected = true;
    simulation.stopScheduler(first);
    simulation.addWorker("b");
    simulation.startScheduler();
    await simulation.clock.advance(1_000);
    await simulation.cancel(spec);
    await simulation.submit(createTasks(OTHER_JOB, 3));
    await simulation.clock.advance(12_000);
    expect(countMost(simulation)).to.equal(3);
    expect(countRunning(simulation)).to.equal(3);
  });

  // Guards against stray runs, of a job that has ended, which no longer count.
  it("counts stray runs of a cancelled job until they are gone", async () => {
    const simulation = createCell(["a", "b"], 8);
    const first = simulation.startScheduler();
    const spec = createTasks(JOB, 1);
    await simulation.submit(spec);
    await simulation.clock.advance(1_000);
    simulation.stopScheduler(first);
    await simulation.cancel(spec);
    await simulation.submit(createTasks(OTHER_JOB, 1));
    simulation.workers.forEach((worker) => {
      worker.drawStopDurationMs = () => 2_000;
    });
    simulation.startScheduler();
    await simulation.clock.advance(6_000);
    expect(simulation.runsOf(`${OTHER_JOB}.0.0.0`)).to.have.length(1);
    expect(countMost(simulation)).to.equal(1);
  });

  // Guards against a second round that does not see what the first one has reserved.
  it("counts placements that are not stored yet", async () => {
    const simulation = createCell(["a", "b"], 3);
    simulation.startScheduler();
    await simulation.clock.advance(1_000);
    const { transact } = simulation.store;
    simulation.store.transact = async (transaction, timeoutMs) => {
      await simulation.clock.sleep(300);
      return await transact(transaction, timeoutMs);
    };
    const jobs = [JOB, OTHER_JOB].map((jobId) => createTasks(jobId, 3));
    const starts: string[] = [];
    simulation.startListeners.push((_worker, task) => starts.push(task));
    void simulation.submit(jobs[0]!);
    simulation.clock.after(100, () => void simulation.submit(jobs[1]!));
    await simulation.clock.advance(3_000);
    expect(starts).to.have.length(3);
    expect(countMost(simulation)).to.equal(3);
  });

  // Guards against starts by a holder that does not know the quotas yet.
  it("that is not known yet lets nothing start", async () => {
    const simulation = createCell(["a"], 3);
    simulation.isDeclaredStateUnknown = true;
    simulation.startScheduler();
    await simulation.submit(createTasks(JOB, 5));
    await simulation.clock.advance(1_000);
    expect(simulation.history).to.have.length(0);
    declareQuota(simulation, 2);
    await simulation.clock.advance(1_000);
    expect(simulation.history).to.have.length(2);
  });

  // Guards against runs of a cancelled job that stop counting before they are stopped.
  it("counts runs of a cancelled job until they are gone", async () => {
    const simulation = createCell(["a"], 3);
    const worker = simulation.get("a");
    worker.drawStopDurationMs = () => 2_000;
    simulation.startScheduler();
    const spec = createTasks(JOB, 3);
    await simulation.submit(spec);
    await simulation.clock.advance(1_000);
    await simulation.cancel(spec);
    await simulation.submit(createTasks(OTHER_JOB, 3));
    await simulation.clock.advance(5_000);
    expect(simulation.runsOf(`${OTHER_JOB}.0.0.0`)).to.have.length(1);
    expect(countMost(simulation)).to.equal(3);
  });

  // Guards against a fallen quota that stops runs, or that starts do not heed.
  it("that falls stops no run and lets nothing start until the usage is below it", async () => {
    const simulation = createCell(["a"], 4);
    simulation.startScheduler();
    await simulation.submit(createTasks(JOB, 9));
    await simulation.clock.advance(1_000);
    declareQuota(simulation, 2);
    await simulation.clock.advance(1_000);
    expect(countRunning(simulation)).to.equal(4);
    const worker = simulation.get("a");
    worker.running.slice(0, 2).forEach((task) => worker.end(task, "done"));
    await simulation.clock.advance(1_000);
    expect(countRunning(simulation)).to.equal(2);
    expect(simulation.history).to.have.length(4);
    worker.end(worker.running[0]!, "done");
    await simulation.clock.advance(1_000);
    expect(simulation.history).to.have.length(5);
  });

  // Guards against a wait of which the log says nothing, or says the same in every round.
  it("is logged once for a unit that it holds back, and again when it changes", async () => {
    const simulation = createCell(["a"], 4);
    const waits: LogFields[] = [];
    simulation.log = {
      info: (event, fields = {}) => {
        if (event === "unit.waits_for_quota") waits.push(fields);
      },
      warn: () => {},
    };
    simulation.startScheduler();
    await simulation.submit(createTasks(JOB, 3));
    await simulation.clock.advance(1_000);
    const steps = [createStep({ count: 2, isGang: true })];
    await simulation.submit(
      createSpec(OTHER_JOB, { organisation: A, steps }),
    );
    await simulation.clock.advance(5_000);
    const need = { cpuMilli: 1_000, memoryMib: 1_000, accelerators: 1 };
    const scale = (factor: number) => ({
      cpuMilli: factor * need.cpuMilli,
      memoryMib: factor * need.memoryMib,
      accelerators: factor,
    });
    expect(waits).to.deep.equal([{
      unit: `${OTHER_JOB}.0.0.0`,
      organisation: A,
      reason: "the quota is used",
      usage: scale(3),
      requirement: scale(2),
      quota: { cpuMilli: 0, memoryMib: 0, accelerators: 4 },
      declaredVersion: 2,
    }]);
    declareQuota(simulation, 1);
    await simulation.clock.advance(5_000);
    expect(
      waits.slice(1).map(({ reason, declaredVersion }) => [
        reason,
        declaredVersion,
      ]),
    ).to.deep.equal([["the unit is wider than the quota", 3]]);
  });

  // Guards against gauges that differ from what the quota is compared with.
  it("is shown with what runs and what waits", async () => {
    const simulation = createCell(["a"], 4);
    const scheduler = simulation.startScheduler();
    await simulation.submit(createTasks(JOB, 4));
    await simulation.submit(createTasks(OTHER_JOB, 4));
    await simulation.clock.advance(1_000);
    expect(scheduler.countWork().organisations).to.deep.equal([{
      organisation: A,
      running: { cpuMilli: 4_000, memoryMib: 4_000, accelerators: 4 },
      quota: { cpuMilli: 0, memoryMib: 0, accelerators: 4 },
      weight: undefined,
      guaranteedAccelerators: 0,
      waitingJobs: 1,
    }]);
    simulation.declareShares(
      Array.from({ length: 2 * MAXIMUM_ORGANISATIONS }, (_, number) => ({
        organisation: `organisation-${number}` as OrganisationName,
        weight: 1,
        quota: undefined,
      })),
    );
    expect(scheduler.countWork().organisations).to.have.length(
      MAXIMUM_ORGANISATIONS,
    );
  });

  // Guards against a start that was planned under the quota before, and sent after it has fallen.
  it("that falls while a placement is being stored prevents its start", async () => {
    const simulation = createCell(["a"], 4);
    const closings: LogFields[] = [];
    simulation.log = {
      info: (event, fields = {}) => {
        if (event === "unit.closing") closings.push(fields);
      },
      warn: () => {},
    };
    simulation.startScheduler();
    await simulation.clock.advance(1_000);
    const { transact } = simulation.store;
    simulation.store.transact = async (transaction, timeoutMs) => {
      const outcome = await transact(transaction, timeoutMs);
      const isProgress = transaction.puts.some(({ key }) =>
        key.startsWith("progress/")
      );
      if (isProgress) declareQuota(simulation, 1);
      return outcome;
    };
    await simulation.submit(createTasks(JOB, 3));
    await simulation.clock.advance(1_000);
    expect(simulation.history).to.have.length(1);
    expect(closings.map(({ reason }) => reason)).to.deep.equal([
      "over the quota since the placement",
      "over the quota since the placement",
    ]);
    expect(closings[0]).to.deep.include({ declaredVersion: 3 });
  });
});
