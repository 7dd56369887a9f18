/** Tests of weighted shares in the planning round. */
import { expect } from "chai";
import { RANK_TIER } from "../job_rank.ts";
import { planRound, type WaitingUnit } from "../plan_round.ts";
import { computeFairLevel } from "./fair_level.ts";
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
const EQUAL = [[A, { weight: 1 }], [B, { weight: 1 }]] as const;
const LONG_WAIT_MS = 60_000;

function createMany(
  count: number,
  create: (unit: string) => WaitingUnit<string>,
): readonly WaitingUnit<string>[] {
  return Array.from({ length: count }, (_, number) => create(String(number)));
}

/** Number of placed units by the first letter of their names. */
function countPlaced(
  plan: { readonly placements: readonly { readonly unit: string }[] },
  letter: string,
): number {
  return plan.placements.filter(({ unit }) => unit.startsWith(letter)).length;
}

const dense = (density: number) => ({
  rank: { tier: RANK_TIER.ORDINARY, density },
});

describe("weighted shares in a planning round", () => {
  // Guards against an organisation that takes the whole cell with many valuable jobs.
  it("divide a full cell by the weights, whatever the values of the jobs", () => {
    const plan = planRound({
      workers: createWorkers(["v", "w"]),
      running: [],
      waiting: [
        ...createMany(
          40,
          (unit) => createWaiting(`a${unit}`, A, ONE, dense(9)),
        ),
        ...createMany(40, (unit) => createWaiting(`b${unit}`, B, ONE)),
      ],
      shares: createShares([[A, { weight: 1 }], [B, { weight: 3 }]]),
    });
    expect([countPlaced(plan, "a"), countPlaced(plan, "b")]).to.deep.equal([
      4,
      12,
    ]);
  });

  // Guards against idle capacity, and against a small demand that lowers the share of the others.
  it("leave to the others what an organisation does not ask for", () => {
    const plan = planRound({
      workers: createWorkers(["v", "w"]),
      running: [],
      waiting: [
        ...createMany(40, (unit) => createWaiting(`a${unit}`, A, ONE)),
        createWaiting("b", B, ONE),
      ],
      shares: createShares(EQUAL),
    });
    expect([countPlaced(plan, "a"), countPlaced(plan, "b")]).to.deep.equal([
      15,
      1,
    ]);
  });

  // Guards against capacity that stays idle for a gang which does not fit.
  it("leave to an organisation above its share what the others cannot use", () => {
    const running = [
      createRunning("ra", A, createStepOf(6), ["v"]),
      createRunning("rb", B, createStepOf(6), ["w"]),
    ];
    const plan = planRound({
      workers: createWorkers(["v", "w"], running),
      running,
      waiting: [
        createWaiting("b", B, WHOLE, dense(9)),
        ...createMany(9, (unit) => createWaiting(`a${unit}`, A, ONE)),
      ],
      shares: createShares(EQUAL, running),
    });
    expect(countPlaced(plan, "a")).to.equal(4);
    expect(plan.evictions).to.deep.equal([]);
  });

  // Guards against a guarantee that a weight reduces.
  it("come after guarantees", () => {
    const running = [
      createRunning("r", A, WHOLE, ["v"], { isEvictable: false }),
    ];
    const plan = planRound({
      workers: createWorkers(["v", "w"], running),
      running,
      waiting: [
        createWaiting("a", A, WHOLE, {
          rank: { tier: RANK_TIER.GUARANTEED, density: 1 },
        }),
        createWaiting("b", B, WHOLE, {
          ...dense(9),
          displacementCost: undefined,
        }),
      ],
      shares: createShares([[A, { weight: 1 }], [B, { weight: 9 }]], running),
    });
    expect(countPlaced(plan, "a")).to.equal(1);
  });

  // Guards against worthless work of one organisation ahead of work of value of another.
  it("let no work without value go before other work", () => {
    const running = [createRunning("r", A, WHOLE, ["v"])];
    const plan = planRound({
      workers: createWorkers(["v", "w"], running),
      running,
      waiting: [
        createWaiting("b", B, WHOLE, {
          rank: { tier: RANK_TIER.WORTHLESS, density: 9 },
        }),
        createWaiting("a", A, WHOLE),
      ],
      shares: createShares(EQUAL, running),
    });
    expect(countPlaced(plan, "a")).to.equal(1);
  });

  // Guards against an urgent job that is paid for by an organisation below its share.
  it("protect an organisation below its share from evictions by one above", () => {
    const running = [
      createRunning("a", A, createStepOf(8), ["v"]),
      createRunning("c", A, createStepOf(6), ["w"], { isEvictable: false }),
      createRunning("b", B, createStepOf(2), ["w"], { evictionCost: 0 }),
    ];
    const plan = (organisation: typeof A) =>
      planRound({
        workers: createWorkers(["v", "w"], running),
        running,
        waiting: [
          createWaiting("urgent", organisation, createStepOf(2), {
            evictionGain: 4,
            displacementCost: undefined,
          }),
          createWaiting("other", B, WHOLE, dense(0)),
        ],
        shares: createShares(EQUAL, running),
      }).evictions.map(({ unit }) => unit);
    expect(plan(A)).to.deep.equal(["a"]);
  });

  // Guards against an eviction from an organisation below its share where another costs the same.
  it("prefer victims of organisations above their share where costs are alike", () => {
    const running = (cost: number) => [
      createRunning("b", B, createStepOf(4), ["v"], { evictionCost: 1 }),
      createRunning("c", A, createStepOf(4), ["v"], { isEvictable: false }),
      createRunning("a", A, createStepOf(8), ["w"], { evictionCost: cost }),
    ];
    const plan = (cost: number) =>
      planRound({
        workers: createWorkers(["v", "w"], running(cost)),
        running: running(cost),
        waiting: [
          createWaiting("urgent", B, createStepOf(4), {
            evictionGain: 4,
            displacementCost: undefined,
          }),
        ],
        shares: createShares(EQUAL, running(cost)),
      }).evictions.map(({ unit }) => unit);
    expect(plan(1.1)).to.deep.equal(["a"]);
    expect(plan(2)).to.deep.equal(["b"]);
  });

  // Guards against a gang below its organisation's share that small units keep waiting for ever.
  it("reclaim capacity for a unit that has waited, down to the share of the others", () => {
    const running = ["1", "2", "3", "4"].map((unit, index) =>
      createRunning(unit, A, createStepOf(4), [index < 2 ? "v" : "w"])
    );
    const plan = (waitedMs: number, accelerators: number) =>
      planRound({
        workers: createWorkers(["v", "w"], running),
        running,
        waiting: [
          createWaiting("b", B, createStepOf(accelerators), { waitedMs }),
          createWaiting("a", A, ONE),
        ],
        shares: createShares(EQUAL, running),
      });
    expect(plan(1_000, 8).evictions).to.deep.equal([]);
    const { evictions, placements } = plan(LONG_WAIT_MS, 8);
    expect(evictions.map(({ unit }) => unit)).to.have.length(2);
    expect(placements).to.deep.equal([]);
  });

  // Guards against organisations that evict each other's runs in turn.
  it("reclaim nothing from an organisation that has only its share", () => {
    const running = [
      createRunning("a", A, WHOLE, ["v"]),
      createRunning("b", B, createStepOf(7), ["w"]),
    ];
    const plan = planRound({
      workers: createWorkers(["v", "w"], running),
      running,
      waiting: [
        createWaiting("more", B, createStepOf(2), { waitedMs: LONG_WAIT_MS }),
      ],
      shares: createShares(EQUAL, running),
    });
    expect(plan.evictions).to.deep.equal([]);
  });
});

describe("the fair level", () => {
  // Guards against a division that leaves capacity over, or divides more than there is.
  it("divides the whole capacity, and is infinite if all demands are met", () => {
    const level = (...demands: readonly (readonly [number, number])[]) =>
      computeFairLevel(demands.map(([weight, dominantShare]) => ({
        weight,
        dominantShare,
      })));
    expect(level([1, 1], [1, 1])).to.equal(0.5);
    expect(level([1, 0.2], [1, 1], [3, 1])).to.equal(0.2);
    expect(level([1, 0.1], [1, 1], [2, 1])).to.be.closeTo(0.3, 1e-12);
    expect(level([1, 0.4], [5, 0.6])).to.equal(Number.POSITIVE_INFINITY);
    expect(level()).to.equal(Number.POSITIVE_INFINITY);
  });
});
