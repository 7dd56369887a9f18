import { expect } from "chai";
import { CellSimulation } from "../cell_simulation.ts";
import { addCrashingTasks, type CrashReturn } from "../fakes/crashing_tasks.ts";
import type { CellLog } from "../log.ts";
import { createSpec, createStep } from "../test_fixtures.ts";

const WORKERS = ["a", "b", "c", "d", "e", "f", "g", "h"];
const SPEC = createSpec("00000000000000dd", { maximumAttempts: 3 });
const WHOLE_WORKER = { cpuMilli: 1_000, memoryMib: 1_000, accelerators: 8 };
const TASK = "00000000000000dd.0.0.0";
/** After the third crash only two more starts are allowed (the platform's rules). */
const MOST_STARTS = 5;
/** Time for many more crashes than are allowed. */
const COURSE_MS = 60_000;
const LONGEST_COURSE_MS = 300_000;

/** A cell in which a task crashes each worker. */
async function startCell(
  crashReturn: CrashReturn,
  spec = SPEC,
  crashingTask = TASK,
) {
  const simulation = CellSimulation.create(WORKERS);
  addCrashingTasks(simulation, {
    isCrashing: (task) => task === crashingTask,
    drawReturn: () => crashReturn,
  });
  let evictions = 0;
  const info: CellLog["info"] = (event, fields) => {
    if (event === "unit.evicted" && fields?.unit === crashingTask) evictions++;
  };
  simulation.log = { info, warn: () => {} };
  const scheduler = simulation.startScheduler();
  await simulation.submit(spec);
  return { simulation, scheduler, countEvictions: () => evictions };
}

describe("a task that crashes its workers", () => {
  // Guards against a task that is started again after each crash and takes down worker after worker.
  for (const crashReturn of ["same_name", "other_name"] as const) {
    it(`is given up when they return under the ${crashReturn.replace("_", " ")}`, async () => {
      const { simulation } = await startCell(crashReturn);
      await simulation.clock.advance(COURSE_MS);
      expect(simulation.runsOf(TASK).length).to.be.at.most(MOST_STARTS);
      expect(simulation.readJob(SPEC)).to.include({ state: "failed" });
    });
  }

  // Guards against counting crashes in the memory of the lease holder only, and against missing those
  // that happen while no holder watches the worker.
  for (const watchedMs of [0, 500, 4_000]) {
    it(`is given up although the lease holder changes ${watchedMs} ms after each start`, async () => {
      const { simulation, scheduler } = await startCell("other_name");
      let holder = scheduler;
      let starts = 0;
      while (
        readState(simulation) === "live" &&
        simulation.clock.nowMs() < LONGEST_COURSE_MS
      ) {
        await simulation.clock.advance(10);
        if (simulation.runsOf(TASK).length === starts) continue;
        starts++;
        await simulation.clock.advance(watchedMs);
        simulation.stopScheduler(holder);
        holder = simulation.startScheduler();
      }
      expect(simulation.runsOf(TASK).length).to.be.at.most(MOST_STARTS);
      expect(readState(simulation)).to.equal("failed");
    });
  }

  // Guards against tasks without a limit of attempts.
  it("is given up also when it is persistent or a later occurrence", async () => {
    const recurrence = { times: 2, firstRunUnixMs: 100, intervalMs: 1_000 };
    for (
      const [spec, task] of [
        [
          createSpec(SPEC.jobId, {
            steps: [createStep({ isPersistent: true })],
          }),
          TASK,
        ],
        [createSpec(SPEC.jobId, { recurrence }), `${SPEC.jobId}.1.0.0`],
      ] as const
    ) {
      const { simulation } = await startCell("other_name", spec, task);
      await simulation.clock.advance(COURSE_MS / 2);
      expect(simulation.runsOf(task).length).to.be.at.most(MOST_STARTS);
      expect(readState(simulation)).to.equal("failed");
    }
  });

  // Guards against losing the count with an eviction of the crashing run.
  it("is given up although its runs are evicted", async () => {
    const { simulation, countEvictions } = await startCell("other_name");
    for (let run = 1; run <= MOST_STARTS; run++) {
      await advanceUntil(
        simulation,
        () => simulation.runsOf(TASK).length >= run,
      );
      // The crash is not known yet.
      await simulation.submit(createSpec(`${run}`.padStart(16, "0"), {
        priority: 0,
        acceptedUnixMs: simulation.clock.nowMs(),
        steps: [createStep({ count: 8, need: WHOLE_WORKER })],
      }));
      await simulation.clock.advance(1_000);
      for (const worker of simulation.workers.values()) {
        worker.running.filter((task) => task !== TASK)
          .forEach((task) => worker.end(task, "done"));
      }
    }
    await simulation.clock.advance(5_000);
    expect(countEvictions()).to.be.greaterThan(0);
    expect(simulation.runsOf(TASK).length).to.be.within(3, MOST_STARTS);
    expect(readState(simulation)).to.equal("failed");
  });
});

/** Advances in small steps, up to the time in which many tasks could run. */
async function advanceUntil(
  { clock }: CellSimulation,
  isReached: () => boolean,
): Promise<void> {
  const deadlineMs = clock.nowMs() + COURSE_MS / 4;
  while (!isReached() && clock.nowMs() < deadlineMs) await clock.advance(5);
}

function readState(simulation: CellSimulation): string {
  const row = simulation.readJob(SPEC);
  return row?.kind === "ended" ? row.state : row?.kind ?? "missing";
}
