import { ManualClock } from "@coltsfootpond/common";
import { expect } from "chai";
import fc from "fast-check";
import { IsolatedPlanner } from "./isolated_planner.ts";

const RUNS = { seed: 51, numRuns: 300 };

function createPlanner(isFailing: (job: number) => boolean) {
  const clock = ManualClock.create();
  const excluded: number[] = [];
  const calls = { count: 0 };
  const planner = IsolatedPlanner.create<number>({
    clock,
    onExcluded: (jobs) => excluded.push(...jobs),
  });
  const plan = (jobs: readonly number[]) =>
    planner.plan(jobs, (included) => {
      calls.count++;
      if (included.some(isFailing)) throw new Error("broken job");
      return included;
    });
  return { plan, clock, excluded, calls };
}

describe("planning of a round with failing jobs", () => {
  // Guards against one job that stops the scheduling of all.
  it("plans all other jobs", () => {
    fc.assert(
      fc.property(fc.array(fc.boolean(), { maxLength: 60 }), (failures) => {
        const jobs = failures.map((_, job) => job);
        const { plan, excluded, calls } = createPlanner((job) =>
          failures[job] === true
        );
        const able = jobs.filter((job) => !failures[job]);
        expect(plan(jobs)).to.deep.equal(able);
        expect(excluded).to.have.lengthOf(jobs.length - able.length);
        // While they are left out, a round is planned once.
        calls.count = 0;
        expect(plan(jobs)).to.deep.equal(able);
        expect(calls.count).to.equal(1);
      }),
      RUNS,
    );
  });

  it("finds one of 1,000 jobs in few plans", () => {
    const { plan, excluded, calls } = createPlanner((job) => job === 617);
    plan(Array.from({ length: 1_000 }, (_, job) => job));
    expect(excluded).to.deep.equal([617]);
    expect(calls.count).to.be.lessThan(30);
  });

  it("includes a job again that can be planned later", async () => {
    let isBroken = true;
    const { plan, clock } = createPlanner((job) => job === 1 && isBroken);
    expect(plan([0, 1, 2])).to.deep.equal([0, 2]);
    isBroken = false;
    await clock.advance(10_000);
    expect(plan([0, 1, 2])).to.deep.equal([0, 1, 2]);
  });

  it("fails when no single job is the cause", () => {
    const planner = IsolatedPlanner.create<number>({
      clock: ManualClock.create(),
      onExcluded: () => expect.fail("no job is the cause"),
    });
    const plan = (jobs: readonly number[]) => {
      if (jobs.length > 1) throw new Error("broken round");
    };
    expect(() => planner.plan([0, 1], plan)).to.throw("broken round");
  });
});
