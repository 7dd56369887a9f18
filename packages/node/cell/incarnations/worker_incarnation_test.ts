import { ManualClock } from "@coltsfootpond/common";
import { expect } from "chai";
import { WorkerIncarnation } from "./worker_incarnation.ts";

/** An incarnation that reported at 0 ms, and the clock, which shows 100 ms. */
async function createReported(startUnixMs: number) {
  const clock = ManualClock.create();
  const incarnation = WorkerIncarnation.create(clock);
  expect(incarnation.applyReport(startUnixMs, -10)).to.equal("current");
  await clock.advance(100);
  return { clock, incarnation };
}

describe("the incarnation of a worker", () => {
  // Guards against taking a later incarnation for an earlier one after its wall clock was set back.
  it("is a later one that names an earlier start", async () => {
    const { incarnation } = await createReported(11_000);
    expect(incarnation.applyReport(5_000, 90)).to.equal("new");
    expect(incarnation.startUnixMs).to.equal(5_000);
  });

  // Guards against going back to an incarnation that has ended, on a report that was overtaken.
  it("stays when a report of another one was requested before it was known", async () => {
    const { clock, incarnation } = await createReported(1);
    expect(incarnation.applyReport(2, 40)).to.equal("new");
    await clock.advance(100);
    expect(incarnation.applyReport(1, 50)).to.equal("undecided");
    expect(incarnation.applyReport(3, 100)).to.equal("undecided");
    expect(incarnation.startUnixMs).to.equal(2);
    expect(incarnation.applyReport(3, 101)).to.equal("new");
  });

  it("stays when a report names none", async () => {
    const { incarnation } = await createReported(1);
    expect(incarnation.applyReport(0, 50)).to.equal("undecided");
    expect(incarnation.startUnixMs).to.equal(1);
  });
});
