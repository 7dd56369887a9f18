/** Property tests of the evictions that rounds plan. */
import type {
  FailureDomainName,
  RackName,
  ServiceName,
  WorkerName,
} from "@coltsfootpond/common";
import { expect } from "chai";
import fc from "fast-check";
import type { RunningUnit } from "../eviction.ts";
import { RANK_TIER } from "../job_rank.ts";
import { planRound, type RoundPlan, type WaitingUnit } from "../plan_round.ts";
import type { StepSpec, WorkerView } from "../types.ts";

const SERVICE = "service" as ServiceName;
const CAPACITY = { cpuMilli: 8_000, memoryMib: 8_000, accelerators: 8 };
const NO_RESOURCES = { cpuMilli: 0, memoryMib: 0, accelerators: 0 };
const ENDS_WITHIN_MS = 700;
const WORKERS = 4;

function createStep(accelerators: number, count: number): StepSpec {
  return {
    count,
    need: { cpuMilli: 0, memoryMib: 0, accelerators },
    estimateMs: 1_000,
    after: [],
    savesProgress: false,
    isGang: count > 1,
    isRackBound: false,
    requiredLabel: undefined,
    dataRack: undefined,
    maximumPerWorker: undefined,
    isPersistent: false,
    isFiller: false,
  };
}

/** Each worker is full with one running unit; some units are gangs on two workers. */
const cell = fc.record({
  running: fc.array(
    fc.record({
      evictionCost: fc.double({ min: 0, max: 4, noNaN: true }),
      remainingMs: fc.option(fc.integer({ min: 0, max: 3_000 }), {
        nil: undefined,
      }),
      isGuarded: fc.boolean(),
      isGang: fc.boolean(),
    }),
    { minLength: WORKERS / 2, maxLength: WORKERS },
  ),
  waiting: fc.array(
    fc.record({
      isGuaranteed: fc.boolean(),
      evictionGain: fc.double({ min: 0, max: 4, noNaN: true }),
      accelerators: fc.integer({ min: 1, max: 8 }),
      tasks: fc.integer({ min: 1, max: 2 }),
      waitsForEnds: fc.boolean(),
    }),
    { minLength: 1, maxLength: 4 },
  ),
});
type Cell = typeof cell extends fc.Arbitrary<infer Value> ? Value : never;

interface Planned {
  readonly plan: RoundPlan<string>;
  readonly running: ReadonlyMap<string, RunningUnit<string>>;
  readonly waiting: ReadonlyMap<string, WaitingUnit<string>>;
}

function planCell({ running, waiting }: Cell): Planned {
  const names = Array.from({ length: WORKERS }, (_, number) => `w${number}`);
  const free = [...names];
  const units = running.flatMap((one, number): RunningUnit<string>[] => {
    const workers = free.splice(0, one.isGang ? 2 : 1) as WorkerName[];
    if (workers.length === 0) return [];
    const unit = `running-${number}`;
    const step = createStep(8, workers.length);
    return [{
      ...one,
      organisation: undefined,
      unit,
      step,
      stepKey: unit,
      workers,
      isEvictable: true,
    }];
  });
  const requests = waiting.map((one, number): WaitingUnit<string> => ({
    organisation: undefined,
    unit: `waiting-${number}`,
    stepKey: `waiting-${number}`,
    service: SERVICE,
    step: createStep(one.accelerators, one.tasks),
    count: one.tasks,
    avoid: new Set(),
    rank: {
      tier: one.isGuaranteed ? RANK_TIER.GUARANTEED : RANK_TIER.ORDINARY,
      density: number,
    },
    allowRemote: false,
    evictionGain: one.evictionGain,
    endsWithinMs: one.waitsForEnds ? ENDS_WITHIN_MS : undefined,
    displacementCost: undefined,
    mayUseHeadroom: true,
  }));
  const workers = names.map((name): WorkerView => ({
    worker: name as WorkerName,
    service: SERVICE,
    failureDomain: "domain" as FailureDomainName,
    rack: "rack" as RackName,
    labels: new Set(),
    capacity: CAPACITY,
    free: free.includes(name) ? CAPACITY : NO_RESOURCES,
    releasing: NO_RESOURCES,
    slowness: 1,
    speed: 1,
    tasksByStep: new Map(),
  }));
  return {
    plan: planRound({ workers, waiting: requests, running: units }),
    running: new Map(units.map((one) => [one.unit, one])),
    waiting: new Map(requests.map((one) => [one.unit, one])),
  };
}

function check(seed: number, verify: (planned: Planned) => void): void {
  fc.assert(fc.property(cell, (input) => verify(planCell(input))), {
    seed,
    numRuns: 500,
  });
}

describe("evictions of a round", () => {
  // Guards against work that is lost for a unit which is worth less.
  it("cost less than they gain unless a guarantee covers the waiting unit", () => {
    check(31, ({ plan, running, waiting }) => {
      const costs = new Map<string, number>();
      for (const { unit, forUnit, cost, gain } of plan.evictions) {
        const { rank, evictionGain } = waiting.get(forUnit)!;
        if (rank.tier !== RANK_TIER.GUARANTEED) {
          expect(cost).to.be.lessThan(gain);
          expect(gain).to.equal(evictionGain);
        }
        const sum = costs.get(forUnit) ?? 0;
        costs.set(forUnit, sum + running.get(unit)!.evictionCost);
      }
      for (const { forUnit, cost } of plan.evictions) {
        expect(costs.get(forUnit)).to.be.closeTo(cost, 1e-9);
      }
    });
  });

  // Guards against a unit that is evicted again before it has made progress.
  it("never take a unit that was evicted lately, except for guaranteed work", () => {
    check(32, ({ plan, running, waiting }) => {
      for (const { unit, forUnit } of plan.evictions) {
        const isGuaranteed =
          waiting.get(forUnit)!.rank.tier === RANK_TIER.GUARANTEED;
        if (!isGuaranteed) expect(running.get(unit)!.isGuarded).to.equal(false);
      }
    });
  });

  // Guards against work that is lost although its capacity would have been free as soon.
  it("never take a unit that ends before an eviction would free its capacity", () => {
    check(33, ({ plan, running, waiting }) => {
      for (const { unit, forUnit } of plan.evictions) {
        const { endsWithinMs } = waiting.get(forUnit)!;
        const { remainingMs } = running.get(unit)!;
        if (endsWithinMs === undefined || remainingMs === undefined) continue;
        expect(remainingMs).to.be.greaterThan(endsWithinMs);
      }
    });
  });

  // Guards against evictions for work that can wait.
  it("do not happen while no urgent work waits", () => {
    fc.assert(
      fc.property(cell, ({ running, waiting }) => {
        const { plan } = planCell({
          running,
          waiting: waiting.map((one) => ({
            ...one,
            isGuaranteed: false,
            evictionGain: 0,
          })),
        });
        expect(plan.evictions).to.deep.equal([]);
      }),
      { seed: 34, numRuns: 500 },
    );
  });

  // Guards against a victim that is not needed because another one frees enough.
  it("take one unit that frees enough instead of several that cost more together", () => {
    const step = createStep(4, 1);
    const run = (
      unit: string,
      accelerators: number,
      evictionCost: number,
    ): RunningUnit<string> => ({
      organisation: undefined,
      unit,
      step: createStep(accelerators, 1),
      stepKey: unit,
      workers: ["w0" as WorkerName],
      isEvictable: true,
      evictionCost,
    });
    const { evictions } = planRound({
      workers: [{
        worker: "w0" as WorkerName,
        service: SERVICE,
        failureDomain: "domain" as FailureDomainName,
        rack: "rack" as RackName,
        labels: new Set(),
        capacity: CAPACITY,
        free: NO_RESOURCES,
        releasing: NO_RESOURCES,
        slowness: 1,
        speed: 1,
        tasksByStep: new Map(),
      }],
      waiting: [{
        organisation: undefined,
        unit: "urgent",
        stepKey: "urgent",
        service: SERVICE,
        step,
        count: 1,
        avoid: new Set(),
        rank: { tier: RANK_TIER.ORDINARY, density: 1 },
        allowRemote: false,
        evictionGain: 3,
        displacementCost: undefined,
        mayUseHeadroom: true,
      }],
      running: [
        run("small", 2, 0.1),
        run("other", 2, 0.2),
        run("wide", 4, 0.25),
      ],
    });
    expect(evictions.map(({ unit }) => unit)).to.deep.equal(["wide"]);
  });
});
