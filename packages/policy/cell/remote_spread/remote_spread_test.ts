/** Tests which gangs may be spread over racks, on workers that are free in several racks. */
import type { ServiceName } from "@coltsfootpond/common";
import { expect } from "chai";
import type { JobRankInput } from "../job_rank.ts";
import type { CellJobSpec } from "../types.ts";
import { computeFreeShares, mayRunRemote } from "./remote_spread.ts";

/** A gang of 6 s with an objective of 18 s. */
function job(ageMs: number, isGuaranteed = false): JobRankInput {
  return {
    spec: { stretch: 3, allowanceMs: 0, priority: 1 } as CellJobSpec,
    criticalPathMs: 6_000,
    remainingCriticalPathMs: 6_000,
    workMs: 1,
    remainingWorkMs: 1,
    meanWorkMs: 1,
    ageMs,
    isGuaranteed,
  };
}

describe("a gang that finds no room in one rack", () => {
  // Guards against a gang that waits for a rack although most of the workers are idle.
  it("is spread over racks after a while if most of the capacity is free", () => {
    const decide = (waitedMs: number, freeShare: number) =>
      mayRunRemote({ job: job(waitedMs), waitedMs, freeShare });
    expect(decide(2_100, 0.6)).to.equal(true);
    expect(decide(1_900, 0.6)).to.equal(false);
    expect(decide(2_100, 0.4)).to.equal(false);
  });

  it("waits in a busy cell until it is late", () => {
    const decide = (ageMs: number) =>
      mayRunRemote({ job: job(ageMs), waitedMs: ageMs, freeShare: 0.1 });
    expect(decide(11_000)).to.equal(false);
    expect(decide(13_000)).to.equal(true);
  });

  it("is spread after a short wait if a guarantee covers it", () => {
    const decide = (waitedMs: number) =>
      mayRunRemote({ job: job(waitedMs, true), waitedMs, freeShare: 0.1 });
    expect([decide(1_100), decide(1_300)]).to.deep.equal([false, true]);
  });

  it("counts as free what the resource leaves of which least is free", () => {
    const service = "service" as ServiceName;
    const capacity = { cpuMilli: 100, memoryMib: 100, accelerators: 8 };
    const shares = computeFreeShares([
      { service, capacity, free: { ...capacity, accelerators: 2 } },
      { service, capacity, free: { ...capacity, accelerators: -2 } },
    ]);
    expect(shares.get(service)).to.equal(2 / 16);
  });
});
