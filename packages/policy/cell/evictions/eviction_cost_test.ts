import { expect } from "chai";
import fc from "fast-check";
import {
  computeEvictionCost,
  computeLostMs,
  type EvictionCostInput,
} from "./eviction_cost.ts";

const BOUNDS = { stopLimitMs: 700, checkpointPeriodMs: 1_000, restoreMs: 300 };

function createInput(
  overrides: Partial<EvictionCostInput> = {},
): EvictionCostInput {
  return {
    bounds: BOUNDS,
    savesProgress: false,
    elapsedMs: 4_000,
    remainingMs: 4_000,
    checkpointAgeMs: undefined,
    cores: 100,
    valuePerCoreSecond: 0.001,
    outlook: {
      value: 3,
      stretch: 3,
      allowanceMs: 1_000,
      ageMs: 4_000,
      criticalPathMs: 8_000,
      remainingMs: 4_000,
    },
    earlierEvictions: 0,
    ...overrides,
  };
}

describe("the cost of an eviction", () => {
  // Guards against lost work that is counted from the start although a checkpoint keeps most of it.
  it("counts the work since the last checkpoint, or one period where that is not known", () => {
    const lose = (overrides: Partial<EvictionCostInput>) =>
      computeLostMs(createInput({ savesProgress: true, ...overrides }));
    expect(lose({ savesProgress: false })).to.equal(4_000);
    expect(lose({})).to.equal(1_000);
    expect(lose({ elapsedMs: 200 })).to.equal(200);
    expect(lose({ checkpointAgeMs: 0 })).to.equal(500);
    expect(lose({ checkpointAgeMs: 800 })).to.equal(800);
    expect(lose({ checkpointAgeMs: 2_500 })).to.equal(2_500);
  });

  // Guards against evictions of units whose jobs can no longer end in time without them.
  it("is higher for a job that the eviction makes late than for one with slack", () => {
    const cost = (ageMs: number) => {
      const { outlook } = createInput();
      return computeEvictionCost(createInput({
        outlook: { ...outlook, ageMs },
      }));
    };
    expect(cost(16_000)).to.be.greaterThan(cost(1_000) + 0.3);
  });

  // Guards against one unit that is evicted over and over.
  it("grows with each earlier eviction", () => {
    const cost = (earlierEvictions: number) =>
      computeEvictionCost(createInput({ earlierEvictions }));
    expect(cost(1)).to.be.closeTo(2 * cost(0), 1e-9);
    expect(cost(2)).to.be.closeTo(3 * cost(0), 1e-9);
  });

  // Guards against a victim that delays its job less than another one and costs more.
  it("counts no lateness for a unit that ends long before its job does", () => {
    const { outlook } = createInput();
    const cost = (jobRemainingMs: number) =>
      computeEvictionCost(createInput({
        valuePerCoreSecond: 0,
        outlook: { ...outlook, remainingMs: jobRemainingMs },
      }));
    expect(cost(20_000)).to.equal(0);
    expect(cost(4_000)).to.be.greaterThan(0);
  });

  // Guards against costs that make a plan look like a profit.
  it("is never negative and grows with the work that is lost", () => {
    const time = fc.integer({ min: 0, max: 60_000 });
    fc.assert(
      fc.property(
        fc.boolean(),
        time,
        time,
        time,
        (savesProgress, elapsedMs, remainingMs, ageMs) => {
          const { outlook } = createInput();
          const cost = (elapsed: number) =>
            computeEvictionCost(createInput({
              savesProgress,
              elapsedMs: elapsed,
              remainingMs,
              outlook: { ...outlook, ageMs, remainingMs },
            }));
          expect(cost(elapsedMs)).to.be.at.least(0);
          expect(cost(elapsedMs + 1_000)).to.be.at.least(cost(elapsedMs));
        },
      ),
      { seed: 21 },
    );
  });
});
