import { expect } from "chai";
import { CellSimulation } from "../cell_simulation.ts";
import { createSpec, createStep } from "../test_fixtures.ts";

const JOB = "00000000000000aa";
const FIRST_RESTART_MS = 4_000;
const DIRECTORY_PERIOD_MS = 700;

/** Restarts worker "a" as another kind, and returns the runs that it then starts of a task for "a". */
async function startOnOtherKind(restartMs: number, isCutFromStore: boolean) {
  const simulation = CellSimulation.create(["a", "b"]);
  const { clock } = simulation;
  const worker = simulation.get("a");
  simulation.startScheduler();
  await clock.advance(restartMs);
  worker.isCutFromStore = isCutFromStore;
  Object.assign(worker.record, { labels: ["other"] });
  worker.restart();
  const steps = [createStep({ requiredLabel: "a" })];
  await simulation.submit(createSpec(JOB, { steps }));
  await clock.advance(10_000);
  return simulation.runsOf(`${JOB}.0.0.0`);
}

describe("a worker that restarts as another kind", () => {
  // Guards against starting a task on a worker by the record of an earlier incarnation.
  for (const isCutFromStore of [false, true]) {
    const title = isCutFromStore ? "cut off from" : "that reaches";
    it(`gets no task that it may not run (${title} the store)`, async () => {
      for (let delayMs = 0; delayMs < DIRECTORY_PERIOD_MS; delayMs += 100) {
        const restartMs = FIRST_RESTART_MS + delayMs;
        expect(
          await startOnOtherKind(restartMs, isCutFromStore),
          `${restartMs}`,
        )
          .to.have.length(0);
      }
    });
  }
});
