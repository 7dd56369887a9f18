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
});
