/** Tests which runs are stopped on workers that leave at short notice. */
import { expect } from "chai";
import { mustStopLeavingRun } from "./leaving_worker.ts";

const LIMITS = { stopLimitMs: 200, periodMs: 200 };

function decide(timeLeftMs: number, remainingMs: number): boolean {
  return mustStopLeavingRun(
    { timeLeftMs, remainingMs, isPersistent: false },
    LIMITS,
  );
}

describe("a run on a worker that leaves at short notice", () => {
  it("is stopped at once if it cannot end before", () => {
    expect(decide(2_000, 2_400)).to.equal(true);
    expect(decide(4_500, 30_000)).to.equal(true);
  });

  // Guards against work that is thrown away although it would have been done in time.
  it("continues if it is expected to end before", () => {
    expect(decide(2_000, 1_500)).to.equal(false);
    expect(decide(300, 100)).to.equal(false);
  });

  it("is stopped when it takes longer than expected", () => {
    expect([1_000, 600, 200].map((leftMs) => decide(leftMs, 400))).to.deep
      .equal([false, false, true]);
  });

  it("is stopped late if it never ends by itself", () => {
    const decisions = [4_500, 1_000, 500, 100].map((timeLeftMs) =>
      mustStopLeavingRun(
        { timeLeftMs, remainingMs: Infinity, isPersistent: true },
        LIMITS,
      )
    );
    expect(decisions).to.deep.equal([false, false, true, true]);
  });
});
