/** Tests of evictions in the simulated cell: for whom, and what becomes of the freed workers. */
import { expect } from "chai";
import { CellSimulation } from "../cell_simulation.ts";
import type { LogFields } from "../log.ts";
import { createSpec, createStep } from "../test_fixtures.ts";

const ORDINARY_JOB = "00000000000000aa";
const URGENT_JOB = "00000000000000bb";
const WHOLE_WORKER = { cpuMilli: 1_000, memoryMib: 1_000, accelerators: 8 };

/** Records the lines of `unit.evicted`. */
function recordEvictions(simulation: CellSimulation): readonly LogFields[] {
  const lines: LogFields[] = [];
  simulation.log = {
    info: (event, fields = {}) => {
      if (event === "unit.evicted") lines.push(fields);
    },
    warn: () => {},
  };
  return lines;
}

describe("an eviction", () => {
  // Guards against evictions of which the log does not tell what they were good for.
  it("is logged with the unit that it makes room for and the workers of that unit", async () => {
    const simulation = CellSimulation.create(["a"]);
    const evictions = recordEvictions(simulation);
    simulation.startScheduler();
    const steps = [createStep({ need: WHOLE_WORKER })];
    await simulation.submit(createSpec(ORDINARY_JOB, { steps }));
    await simulation.clock.advance(1_000);
    await simulation.submit(createSpec(URGENT_JOB, {
      steps,
      priority: 0,
      acceptedUnixMs: simulation.clock.nowMs(),
    }));
    await simulation.clock.advance(500);
    expect(evictions).to.deep.equal([{
      unit: `${ORDINARY_JOB}.0.0.0`,
      forUnit: `${URGENT_JOB}.0.0.0`,
      workers: ["a"],
      gain: 2.8,
      cost: 1.868,
      // The run has outlasted its estimate and has reported no progress.
      remainingMs: undefined,
      earlierEvictions: 0,
    }]);
  });

  // Guards against a unit that is started again on the workers from which it was evicted, ahead of
  // the urgent unit, and evicted again, over and over, while the urgent unit waits.
  it("happens once, and the urgent unit starts next", async () => {
    const simulation = CellSimulation.create(["a"]);
    const evictions = recordEvictions(simulation);
    simulation.startScheduler();
    const steps = [createStep({ count: 2 })];
    await simulation.submit(createSpec(ORDINARY_JOB, { steps }));
    await simulation.clock.advance(1_000);
    await simulation.submit(createSpec(URGENT_JOB, {
      steps: [createStep({ need: WHOLE_WORKER })],
      priority: 0,
      acceptedUnixMs: simulation.clock.nowMs(),
    }));
    await simulation.clock.advance(500);
    expect(evictions.map(({ unit }) => unit)).to.deep.equal([
      `${ORDINARY_JOB}.0.0.0`,
      `${ORDINARY_JOB}.0.0.1`,
    ]);
    const worker = simulation.get("a");
    expect(worker.running).to.deep.equal([`${URGENT_JOB}.0.0.0`]);
    worker.end(worker.running[0]!, "done");
    await simulation.clock.advance(500);
    expect(worker.running).to.have.length(2);
    expect(simulation.history).to.have.length(5);
  });

  // Guards against a unit that is evicted again before it could write a checkpoint, and documents that
  // a new lease holder does not know the evictions of an earlier one.
  it("does not hit the same unit again within the guard time, which a new lease holder does not know", async () => {
    for (const isHolderChanged of [false, true]) {
      const simulation = CellSimulation.create(["a"]);
      const evictions = recordEvictions(simulation);
      const scheduler = simulation.startScheduler();
      const { clock } = simulation;
      const worker = simulation.get("a");
      await simulation.submit(createSpec(ORDINARY_JOB, {
        steps: [createStep({ need: WHOLE_WORKER, estimateMs: 20_000 })],
        allowanceMs: 100_000,
      }));
      await clock.advance(1_000);
      const submitUrgent = (jobId: string) =>
        simulation.submit(createSpec(jobId, {
          steps: [createStep({ need: WHOLE_WORKER })],
          priority: 0,
          allowanceMs: 10_000,
          acceptedUnixMs: clock.nowMs(),
        }));
      await submitUrgent(URGENT_JOB);
      await clock.advance(200);
      worker.end(worker.running[0]!, "done");
      await clock.advance(200);
      expect(worker.running).to.deep.equal([`${ORDINARY_JOB}.0.0.0`]);
      if (isHolderChanged) {
        simulation.stopScheduler(scheduler);
        simulation.startScheduler();
      }
      await submitUrgent("00000000000000cc");
      await clock.advance(400);
      expect(evictions.length, "within the guard time").to.equal(
        isHolderChanged ? 2 : 1,
      );
      await clock.advance(2_000);
      expect(evictions.map(({ earlierEvictions }) => earlierEvictions)).to
        .deep.equal(isHolderChanged ? [0, 0] : [0, 1]);
      expect(simulation.countOverlaps()).to.equal(0);
    }
  });

  // Guards against urgent units that wait for a run which never seems to end: without reports its
  // estimate says that it ends soon, until it has outlasted the estimate.
  it("follows the estimate without reports, and waits for no run that has outlasted it", async () => {
    const simulation = CellSimulation.create(["a"]);
    const evictions = recordEvictions(simulation);
    simulation.startScheduler();
    const { clock } = simulation;
    // The reported percentage is too small to count.
    const steps = [createStep({ need: WHOLE_WORKER, estimateMs: 1_000 })];
    await simulation.submit(createSpec(ORDINARY_JOB, { steps }));
    await clock.advance(900);
    await simulation.submit(createSpec(URGENT_JOB, {
      steps: [createStep({ need: WHOLE_WORKER })],
      priority: 0,
      allowanceMs: 10_000,
      acceptedUnixMs: clock.nowMs(),
    }));
    await clock.advance(60);
    expect(evictions, "before its estimated end").to.deep.equal([]);
    await clock.advance(400);
    expect(evictions, "after its estimated end").to.have.length(1);
  });
});
