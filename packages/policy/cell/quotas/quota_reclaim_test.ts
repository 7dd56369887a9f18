import { expect } from "chai";
import fc from "fast-check";
import type { RunningUnit } from "../eviction.ts";
import { RANK_TIER } from "../job_rank.ts";
import { planRound } from "../plan_round.ts";
import { computeRequirement, isWithinQuota } from "./organisation_usage.ts";
import { QuotaLedger } from "./quota_ledger.ts";
import {
  A,
  B,
  createRunning,
  createShares,
  createStepOf,
  createWaiting,
  createWorkers,
} from "./quota_fixtures.ts";
import { planQuotaReclaim } from "./quota_reclaim.ts";

const ONE = createStepOf(1);
const FOUR = createStepOf(4);
const GUARANTEED = {
  rank: { tier: RANK_TIER.GUARANTEED, density: 9 },
  evictionGain: 4,
  displacementCost: undefined,
};
const URGENT = { evictionGain: 4, displacementCost: undefined };
const WORKERS = ["v", "w"];

/** An organisation whose ordinary work fills its quota of 8 while half of the cell is free. */
function planWith(
  request: Parameters<typeof createWaiting>[3],
  overrides: Parameters<typeof createRunning>[4] = {},
) {
  const running = [
    createRunning("dear", A, FOUR, ["v"], { evictionCost: 2, ...overrides }),
    createRunning("cheap", A, FOUR, ["v"], { evictionCost: 1, ...overrides }),
    createRunning("other", B, FOUR, ["w"], { evictionCost: 0 }),
  ];
  const plan = planRound({
    workers: createWorkers(WORKERS, running),
    running,
    waiting: [createWaiting("urgent", A, FOUR, request)],
    shares: createShares([[A, { accelerators: 8 }]], running),
  });
  return {
    evicted: plan.evictions.map(({ unit, forUnit }) => [unit, forUnit]),
    placed: plan.placements.map(({ unit }) => unit),
  };
}

describe("work of an organisation whose quota is full", () => {
  // Guards against guaranteed jobs that wait for their own organisation's ordinary work to end.
  it("is evicted for a job that the organisation's guarantee covers", () => {
    const expected = { evicted: [["cheap", "urgent"]], placed: [] };
    expect(planWith(GUARANTEED)).to.deep.equal(expected);
    // A guarantee holds whatever the evictions cost.
    expect(planWith(GUARANTEED, { evictionCost: 99 }).evicted).to.have.length(
      1,
    );
  });

  // Guards against evictions that cost callers more than they gain.
  it("is evicted for another urgent job only if that gains more than it costs", () => {
    expect(planWith(URGENT).evicted).to.deep.equal([["cheap", "urgent"]]);
    expect(planWith({ ...URGENT, evictionGain: 0.5 }).evicted).to.deep.equal(
      [],
    );
    expect(planWith({ evictionGain: 0 }).evicted).to.deep.equal([]);
  });

  // Guards against one eviction in each round until the first run has stopped.
  it("is not evicted while enough of it is being stopped", () => {
    const closing = { isClosing: true, isEvictable: false };
    expect(planWith(GUARANTEED, closing).evicted).to.deep.equal([]);
  });

  // Guards against evictions that cannot let the unit start.
  it("is not evicted for a unit wider than the quota", () => {
    const running = [createRunning("r", A, FOUR, ["v"])];
    const wide = createStepOf(4, { count: 3, isGang: true });
    const shares = createShares([[A, { accelerators: 8 }]], running);
    const reclaim = planQuotaReclaim(createWaiting("wide", A, wide), {
      units: running,
      evicted: new Set<RunningUnit<string>>(),
      ledger: QuotaLedger.create(shares),
    });
    expect(reclaim).to.equal(undefined);
  });

  // Guards against ordinary work of higher rank that starts, and is evicted again, in each round.
  it("is displaced if it was placed in the same round", () => {
    const plan = planRound({
      workers: createWorkers(WORKERS),
      running: [],
      waiting: [
        createWaiting("ordinary", A, ONE, {
          rank: { tier: RANK_TIER.ORDINARY, density: 5 },
        }),
        createWaiting("urgent", A, createStepOf(8), URGENT),
      ],
      shares: createShares([[A, { accelerators: 8 }]]),
    });
    expect(plan.placements.map(({ unit }) => unit)).to.deep.equal(["urgent"]);
  });

  // Guards against victims without which the unit would be within the quota all the same.
  it("is evicted no more than needed", () => {
    const sizes = fc.array(
      fc.record({
        accelerators: fc.integer({ min: 1, max: 8 }),
        evictionCost: fc.double({ min: 0, max: 4, noNaN: true }),
      }),
      { maxLength: 8 },
    );
    fc.assert(
      fc.property(sizes, fc.integer({ min: 1, max: 20 }), (units, limit) => {
        const running = units.map(({ accelerators, evictionCost }, index) =>
          createRunning(`${index}`, A, createStepOf(accelerators), ["v"], {
            evictionCost,
          })
        );
        const shares = createShares([[A, { accelerators: limit }]], running);
        const request = createWaiting("urgent", A, ONE);
        const reclaim = planQuotaReclaim(request, {
          units: running,
          evicted: new Set<RunningUnit<string>>(),
          ledger: QuotaLedger.create(shares),
        });
        const isWithout = (evicted: readonly RunningUnit<string>[]) => {
          const stays = running.filter((unit) => !evicted.includes(unit));
          const used = stays.reduce(
            (sum, { step }) => sum + step.need.accelerators,
            computeRequirement(request).accelerators,
          );
          return isWithinQuota(
            { cpuMilli: 0, memoryMib: 0, accelerators: used },
            { cpuMilli: 0, memoryMib: 0, accelerators: limit },
          );
        };
        const victims = reclaim?.victims ?? [];
        return isWithout(victims) &&
          victims.every((victim) =>
            !isWithout(victims.filter((other) => other !== victim))
          );
      }),
      { seed: 41, numRuns: 300 },
    );
  });
});
