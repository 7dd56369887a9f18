import { expect } from "chai";
import { CellSimulation, SIMULATION_BOUNDS } from "../cell_simulation.ts";
import { createSpec, createStep } from "../test_fixtures.ts";
import { computeLongestLeaseMs } from "../worker_leases.ts";
import type { WorkerFake } from "../workers_fake.ts";

const JOB = "00000000000000aa";
const LATER_JOB = "00000000000000bb";
/** Time for which the clocks of the workers have run before a wrong one is shown. */
const RUNNING_MS = 20_000;
/** Far ahead, far behind, and the highest value that is decoded. */
const WRONG_CLOCKS_MS = [1e9, 0, Number.MAX_SAFE_INTEGER];

/**
 * The next reports of the worker have these clocks, the correct one where undefined. After them it
 * gets no call any more, or sends correct reports.
 */
function showClocks(
  worker: WorkerFake,
  clocksMs: readonly (number | undefined)[],
  isCutThen: boolean,
): void {
  const renew = worker.renew.bind(worker);
  let answers = 0;
  worker.renew = (command) => {
    const outcome = renew(command);
    if (outcome.kind !== "report") return outcome;
    const { metadata } = outcome;
    const workerClockMs = clocksMs[answers] ?? metadata.workerClockMs;
    return { ...outcome, metadata: { ...metadata, workerClockMs } };
  };
  // A long poll makes several reports and answers with the last one.
  worker.drawAnswerDelayMs = () => {
    answers++;
    worker.isDisconnected = isCutThen && answers >= clocksMs.length;
    return 0;
  };
}

/** A cell in which the only task runs on worker "a", while "b" is idle. */
async function createRunningCell() {
  const simulation = CellSimulation.create(["a", "b"]);
  const { clock } = simulation;
  await clock.advance(RUNNING_MS);
  const scheduler = simulation.startScheduler();
  await clock.advance(1_000);
  simulation.get("b").isDisconnected = true;
  await simulation.submit(createSpec(JOB));
  await clock.advance(2_000);
  simulation.get("b").isDisconnected = false;
  const worker = simulation.get("a");
  expect(worker.running).to.have.length(1);
  await clock.advance(1_000);
  return { simulation, clock, scheduler, worker };
}

/** Waits until every lease has expired; the task then runs on "b", and never ran twice. */
async function expectOneRunAfterLease(simulation: CellSimulation) {
  await simulation.clock.advance(
    computeLongestLeaseMs(SIMULATION_BOUNDS.leaseMaximumMs) + 4_000,
  );
  expect(simulation.countOverlaps()).to.equal(0);
  expect(simulation.get("b").running).to.have.length(1);
}

describe("a wrong clock in one report of a worker", () => {
  for (const wrongMs of WRONG_CLOCKS_MS) {
    // Guards against a task that runs twice, as by the wrong clock its lease had expired, and
    // against one that never runs again, as by the wrong clock its lease never expired.
    it(`of ${wrongMs} does not change when leases expire`, async () => {
      const { simulation, worker } = await createRunningCell();
      showClocks(worker, [wrongMs], true);
      await expectOneRunAfterLease(simulation);
    });

    // Guards against judging leases of an earlier holder by the first report, whose clock was wrong.
    it(`of ${wrongMs} does not change when leases of an earlier holder expire`, async () => {
      const { simulation, scheduler, worker } = await createRunningCell();
      simulation.stopScheduler(scheduler);
      showClocks(worker, [wrongMs, undefined], true);
      simulation.startScheduler();
      await expectOneRunAfterLease(simulation);
    });

    // Guards against taking all later reports for older than the one with the wrong clock.
    it(`of ${wrongMs} leaves later reports in use`, async () => {
      const { simulation, clock, worker } = await createRunningCell();
      showClocks(worker, [wrongMs], false);
      await clock.advance(2_000);
      const later = createSpec(LATER_JOB, {
        steps: [createStep({ requiredLabel: "a" })],
      });
      await simulation.submit(later);
      await clock.advance(1_000);
      expect(worker.running).to.have.length(2);
      // Only reports that are applied show that the run makes no progress.
      worker.isStalled = true;
      await clock.advance(5_000);
      expect(simulation.runsOf(`${LATER_JOB}.0.0.0`)[0]?.end).to.equal(
        "stopped",
      );
      expect(simulation.countOverlaps()).to.equal(0);
    });
  }
});
