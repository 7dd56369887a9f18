/** Tests that quotas and weights change no plan where they do not apply. */
import { createHash } from "node:crypto";
import { expect } from "chai";
import { planRound } from "../plan_round.ts";
import {
  A,
  ACCELERATORS,
  B,
  createShares,
  createWorkers,
} from "./quota_fixtures.ts";
import { createRandomInput } from "./random_input.ts";

const SEEDS = 200;
const DIGEST_LENGTH = 12;
const NAMES = Array.from({ length: 12 }, (_, number) => `w${number}`);
const CAPACITY = NAMES.length * ACCELERATORS;
const seeds = Array.from({ length: SEEDS }, (_, seed) => seed);

describe("the plan of a round", () => {
  // Guards against a feature that takes effect where nothing requires it. The snapshot was made with
  // the planner of commit 6d99afe, which knew neither quotas nor weights.
  it("is the same as before if there are no quotas and no weights", () => {
    const digests = seeds.map((seed) =>
      createHash("sha256").update(
        JSON.stringify(planRound(createRandomInput(seed))),
      ).digest("hex").slice(0, DIGEST_LENGTH)
    );
    expect(digests.join(" ")).toMatchSnapshot();
  });

  // Guards against quotas that have an effect although no organisation comes near them.
  it("is the same with quotas that no organisation reaches", () => {
    const shares = createShares([
      [A, { accelerators: 1_000 }],
      [B, { accelerators: 1_000 }],
    ]);
    for (const seed of seeds) {
      const input = createRandomInput(seed);
      expect(planRound({ ...input, shares })).to.deep.equal(planRound(input));
    }
  });

  // Guards against weights that have an effect although all demand is met.
  it("is the same with weights while there is capacity for all units", () => {
    const shares = createShares([[A, { weight: 1 }], [B, { weight: 9 }]]);
    const workers = createWorkers(NAMES);
    for (const seed of seeds) {
      const input = createRandomInput(seed);
      let accelerators = 0;
      const waiting = input.waiting.filter(({ step, count }) => {
        accelerators += step.need.accelerators * count;
        return accelerators <= CAPACITY;
      });
      const few = { ...input, waiting, workers, running: [] };
      expect(planRound({ ...few, shares })).to.deep.equal(planRound(few));
    }
  });
});
