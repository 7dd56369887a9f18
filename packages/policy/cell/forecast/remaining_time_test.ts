import { expect } from "chai";
import fc from "fast-check";
import { computeRemainingMs, type RunProgress } from "./remaining_time.ts";

function createProgress(overrides: Partial<RunProgress> = {}): RunProgress {
  return {
    elapsedMs: 0,
    percent: 0,
    estimateMs: 8_000,
    speed: 1,
    ...overrides,
  };
}

describe("the remaining time of a run", () => {
  // Guards against runs without reports that seem to have ended or never to end.
  it("follows the estimate, the worker's speed and the learned ratio while nothing is reported", () => {
    const compute = (overrides: Partial<RunProgress>) =>
      computeRemainingMs(createProgress({ elapsedMs: 2_000, ...overrides }));
    expect(compute({})).to.equal(6_000);
    expect(compute({ speed: 0.5 })).to.equal(14_000);
    expect(compute({ learnedRatio: 2 })).to.equal(14_000);
    expect(compute({ percent: 2 })).to.equal(6_000);
    expect(compute({ elapsedMs: 10_000 })).to.equal(1_000);
  });

  // Guards against victims that are about to end although their estimate says otherwise.
  it("follows the reported percentage once it is far from 0, whatever the estimate", () => {
    for (const estimateMs of [500, 8_000, 80_000]) {
      const remainingMs = computeRemainingMs(createProgress({
        elapsedMs: 9_000,
        percent: 90,
        estimateMs,
      }));
      expect(remainingMs, `estimate ${estimateMs}`).to.be.within(900, 1_900);
    }
  });

  // Guards against a few percent, reported a second late, that outweigh the estimate.
  it("lies between both while the percentage is small", () => {
    const remainingMs = computeRemainingMs(createProgress({
      elapsedMs: 1_000,
      percent: 5,
    }));
    expect(remainingMs).to.be.within(7_000, 13_500);
  });

  // Guards against a run from a checkpoint that seems much faster than it is.
  it("counts the progress of this run only", () => {
    const remainingMs = computeRemainingMs(createProgress({
      elapsedMs: 4_000,
      percent: 80,
      startPercent: 60,
    }));
    expect(remainingMs).to.be.within(2_500, 4_000);
    expect(computeRemainingMs(createProgress({ startPercent: 75 })))
      .to.equal(2_000);
  });

  // Guards against results that compare wrongly: NaN, infinite or negative times.
  it("is finite, 0 only at the end or at the start of a run without an estimate, and falls with progress", () => {
    const time = fc.integer({ min: 0, max: 1_000_000 });
    fc.assert(
      fc.property(
        fc.record({
          elapsedMs: time,
          estimateMs: time,
          percent: fc.integer({ min: 0, max: 100 }),
          speed: fc.double({ min: 0, max: 4 }),
          learnedRatio: fc.double({ min: 0, max: 10, noNaN: true }),
        }),
        (progress) => {
          const speed = progress.speed < 0.01 ? 0 : progress.speed;
          const remainingMs = computeRemainingMs({ ...progress, speed });
          expect(remainingMs).to.satisfy(Number.isFinite);
          expect(remainingMs).to.be.at.least(0);
          expect(computeRemainingMs({ ...progress, percent: 100 })).to.equal(0);
          if (progress.elapsedMs > 0 && progress.percent < 100) {
            expect(remainingMs).to.be.greaterThan(0);
          }
        },
      ),
      { seed: 11 },
    );
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 1_000_000 }),
        fc.integer({ min: 3, max: 99 }),
        (elapsedMs, percent) => {
          const compute = (reported: number) =>
            computeRemainingMs(
              // Estimate and reports agree, so that only the progress differs.
              createProgress({
                elapsedMs,
                percent: reported,
                estimateMs: elapsedMs * 100 / reported,
              }),
            );
          expect(compute(percent + 1)).to.be.at.most(compute(percent) + 1e-6);
        },
      ),
      { seed: 12 },
    );
  });
});
