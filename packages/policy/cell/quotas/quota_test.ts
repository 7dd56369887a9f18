/** Tests of quotas in the planning round. */
import { expect } from "chai";
import { RANK_TIER } from "../job_rank.ts";
import { planRound } from "../plan_round.ts";
import {
  A,
  B,
  createRunning,
  createShares,
  createStepOf,
  createWaiting,
  createWorkers,
} from "./quota_fixtures.ts";

const ONE = createStepOf(1);
const WHOLE = createStepOf(8);
const URGENT = { evictionGain: 4, displacementCost: undefined };

function listUnits(plan: { placements: readonly { unit: string }[] }) {
  return plan.placements.map(({ unit }) => unit);
}

describe("a quota in a planning round", () => {
  // Guards against units of one round that together exceed the quota.
  it("counts each placement of the round", () => {
    const running = [createRunning("r", A, ONE, ["w"])];
    const plan = planRound({
      workers: createWorkers(["w"], running),
      running,
      waiting: ["1", "2", "3"].map((unit) => createWaiting(unit, A, ONE)),
      shares: createShares([[A, { accelerators: 3 }]], running),
    });
    expect(listUnits(plan)).to.deep.equal(["1", "2"]);
  });

  // Guards against a gang of which only the first task is compared with the quota.
  it("counts a gang whole", () => {
    const gang = createStepOf(1, { count: 4, isGang: true });
    const plan = planRound({
      workers: createWorkers(["w"]),
      running: [],
      waiting: [createWaiting("gang", A, gang), createWaiting("one", A, ONE)],
      shares: createShares([[A, { accelerators: 3 }]]),
    });
    expect(listUnits(plan)).to.deep.equal(["one"]);
  });

  // Guards against filler work, whose processor time a worker does not count, without limit.
  it("counts the processor time of filler steps", () => {
    const filler = createStepOf(1, { isFiller: true });
    const shares = createShares([[A, { accelerators: 0 }]]);
    const quota = { ...filler.need, memoryMib: 0, accelerators: 0 };
    const plan = planRound({
      workers: createWorkers(["w"]),
      running: [],
      waiting: ["1", "2"].map((unit) => createWaiting(unit, A, filler)),
      shares: {
        ...shares,
        limits: new Map([[A, { weight: undefined, quota }]]),
      },
    });
    expect(listUnits(plan)).to.deep.equal(["1"]);
  });

  // Guards against a unit above its quota that takes, or makes free, what others could use.
  it("holds a unit back without evictions and without effect on other units", () => {
    const running = [
      createRunning("mine", A, WHOLE, ["v"], { isEvictable: false }),
      createRunning("other", B, WHOLE, ["w"]),
    ];
    const rank = { tier: RANK_TIER.GUARANTEED, density: 9 };
    const plan = planRound({
      workers: createWorkers(["u", "v", "w"], running),
      running,
      waiting: [
        createWaiting("held", A, WHOLE, { ...URGENT, rank }),
        createWaiting("next", B, WHOLE),
      ],
      shares: createShares([[A, { accelerators: 8 }]], running),
    });
    expect(listUnits(plan)).to.deep.equal(["next"]);
    expect(plan.evictions).to.deep.equal([]);
  });

  // Guards against evictions for more units than the quota lets start.
  it("counts units for which others are evicted", () => {
    const running = [
      createRunning("1", B, WHOLE, ["v"]),
      createRunning("2", B, WHOLE, ["w"]),
    ];
    const plan = planRound({
      workers: createWorkers(["v", "w"], running),
      running,
      waiting: ["x", "y"].map((unit) => createWaiting(unit, A, WHOLE, URGENT)),
      shares: createShares([[A, { accelerators: 8 }]], running),
    });
    expect(plan.evictions.map(({ forUnit }) => forUnit)).to.deep.equal(["x"]);
  });

  // Guards against an evicted run that no longer counts while it is still being stopped.
  it("counts an evicted run until it is gone", () => {
    const running = [
      createRunning("victim", A, WHOLE, ["w"]),
      createRunning("stays", B, createStepOf(4), ["x"], { isEvictable: false }),
    ];
    const plan = planRound({
      workers: createWorkers(["v", "w", "x"], running),
      running,
      waiting: [
        createWaiting(
          "urgent",
          B,
          createStepOf(8, { count: 2, isGang: true }),
          {
            ...URGENT,
            rank: { tier: RANK_TIER.GUARANTEED, density: 9 },
          },
        ),
        createWaiting("later", A, ONE),
      ],
      shares: createShares([[A, { accelerators: 8 }]], running),
    });
    expect(plan.evictions.map(({ unit }) => unit)).to.deep.equal(["victim"]);
    expect(plan.placements).to.deep.equal([]);
  });

  // Guards against a placement that a unit of the round displaces and that still counts.
  it("takes back what a displaced placement has reserved", () => {
    const plan = planRound({
      workers: createWorkers(["w"]),
      running: [],
      waiting: [
        createWaiting("displaced", A, WHOLE, {
          rank: { tier: RANK_TIER.ORDINARY, density: 2 },
        }),
        createWaiting("urgent", B, createStepOf(4), URGENT),
        createWaiting("small", A, ONE),
      ],
      shares: createShares([[A, { accelerators: 8 }]]),
    });
    expect(listUnits(plan)).to.deep.equal(["urgent", "small"]);
  });

  // Guards against starts above a quota that has fallen, of units that take another resource.
  it("lets nothing start above a quota that has fallen", () => {
    const running = [createRunning("r", A, createStepOf(4), ["w"])];
    const none = createStepOf(0);
    const plan = planRound({
      workers: createWorkers(["w"], running),
      running,
      waiting: [createWaiting("none", A, none), createWaiting("b", B, ONE)],
      shares: createShares([[A, { accelerators: 3 }]], running),
    });
    expect(listUnits(plan)).to.deep.equal(["b"]);
  });
});
