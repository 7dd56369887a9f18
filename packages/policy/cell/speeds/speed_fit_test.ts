/** Tests of the choice of workers of unequal speeds. */
import type {
  FailureDomainName,
  RackName,
  ServiceName,
  WorkerName,
} from "@coltsfootpond/common";
import { expect } from "chai";
import fc from "fast-check";
import { RANK_TIER } from "../job_rank.ts";
import { planRound, type WaitingUnit } from "../plan_round.ts";
import type { StepSpec, WorkerView } from "../types.ts";

const SERVICE = "service" as ServiceName;
const CAPACITY = { cpuMilli: 128_000, memoryMib: 512_000, accelerators: 8 };
const STEP: StepSpec = {
  count: 1,
  need: { cpuMilli: 1_000, memoryMib: 1_000, accelerators: 8 },
  estimateMs: 1_000,
  after: [],
  savesProgress: false,
  isGang: false,
  isRackBound: false,
  requiredLabel: undefined,
  dataRack: undefined,
  maximumPerWorker: undefined,
  isPersistent: false,
  isFiller: false,
};

function worker(
  name: string,
  speed: number,
  overrides: Partial<WorkerView> = {},
): WorkerView {
  return {
    worker: name as WorkerName,
    service: SERVICE,
    failureDomain: "domain" as FailureDomainName,
    rack: "rack" as RackName,
    labels: new Set(),
    capacity: CAPACITY,
    free: CAPACITY,
    releasing: { cpuMilli: 0, memoryMib: 0, accelerators: 0 },
    slowness: 1,
    speed,
    tasksByStep: new Map(),
    ...overrides,
  };
}

function waiting(
  unit: string,
  step: Partial<StepSpec>,
  overrides: Partial<WaitingUnit<string>> = {},
): WaitingUnit<string> {
  return {
    unit,
    organisation: undefined,
    service: SERVICE,
    step: { ...STEP, ...step },
    stepKey: unit,
    count: step.count ?? 1,
    avoid: new Set(),
    rank: { tier: RANK_TIER.ORDINARY, density: 1 },
    allowRemote: false,
    evictionGain: 0,
    displacementCost: 0,
    mayUseHeadroom: true,
    ...overrides,
  };
}

function place(
  workers: readonly WorkerView[],
  ...units: readonly WaitingUnit<string>[]
): Readonly<Record<string, readonly string[]>> {
  const plan = planRound({ workers, waiting: units, running: [] });
  return Object.fromEntries(
    plan.placements.map(({ unit, workers }) => [unit, [...workers].sort()]),
  );
}

const GANG = { isGang: true, count: 2 };

describe("workers of unequal speeds", () => {
  // Guards against an urgent job that is late because one member of its gang is slow.
  it("run a gang that needs speed on those that are fast enough", () => {
    const workers = [
      worker("a", 0.6),
      worker("b", 1),
      worker("c", 0.6),
      worker("d", 1),
    ];
    const unit = waiting("gang", GANG, { minimumSpeed: 0.8 });
    expect(place(workers, unit)).to.deep.equal({ gang: ["b", "d"] });
  });

  // Guards against a fast worker that is held back by the slower members of its gang.
  it("run a gang on workers of one speed rather than on a mixture", () => {
    const workers = [
      worker("a", 1),
      worker("b", 1.6),
      worker("c", 1.6),
    ];
    const unit = waiting("gang", GANG, { minimumSpeed: 0.8 });
    expect(place(workers, unit)).to.deep.equal({ gang: ["b", "c"] });
  });

  it("run a gang on a mixture of those that are fast enough if no speed has room", () => {
    const workers = [
      worker("a", 0.6),
      worker("b", 1.6),
      worker("c", 1.6),
      worker("d", 1),
      worker("e", 1),
    ];
    const unit = waiting("gang", { ...GANG, count: 3 }, { minimumSpeed: 0.8 });
    expect(place(workers, unit)).to.deep.equal({ gang: ["b", "d", "e"] });
  });

  // Guards against fast workers that are taken by work that would be on time on slow ones.
  it("run work with slack on the slowest, so that the others stay free", () => {
    const workers = [worker("a", 1.6), worker("b", 0.6), worker("c", 1)];
    expect(place(workers, waiting("slack", {}))).to.deep.equal({
      slack: ["b"],
    });
    expect(
      place(workers, waiting("some slack", {}, { minimumSpeed: 0.7 })),
    ).to.deep.equal({ "some slack": ["c"] });
  });

  // Guards against capacity that stays idle while a unit waits.
  it("run every unit that fits at all", () => {
    const workers = [worker("a", 0.6), worker("b", 0.3), worker("c", 1)];
    const unit = waiting("gang", { ...GANG, count: 3 }, { minimumSpeed: 0.8 });
    expect(place(workers, unit)).to.deep.equal({ gang: ["a", "b", "c"] });
    const two = waiting("gang", GANG, { minimumSpeed: 0.8 });
    expect(place(workers, two)).to.deep.equal({ gang: ["a", "c"] });
  });

  // Guards against remote runs, three times as long, for the sake of speed.
  it("run a rack-bound gang in one rack of slow workers rather than across racks", () => {
    const rack = (name: string) => ({ rack: name as RackName });
    const workers = [
      worker("a", 1.6, rack("one")),
      worker("b", 0.6, rack("one")),
      worker("c", 1.6, rack("two")),
    ];
    const unit = waiting("gang", { ...GANG, isRackBound: true }, {
      minimumSpeed: 1.2,
      allowRemote: true,
    });
    expect(place(workers, unit)).to.deep.equal({ gang: ["a", "b"] });
  });

  // Guards against urgent gangs on workers that turn out slow as soon as they are measured.
  it("run a gang that needs speed on measured ones first", () => {
    const unmeasured = { isSpeedMeasured: false };
    const workers = [
      worker("a", 1, unmeasured),
      worker("b", 1, unmeasured),
      worker("c", 1.5),
      worker("d", 1.5),
      worker("e", 0.6),
    ];
    const unit = waiting("gang", GANG, { minimumSpeed: 0.8 });
    expect(place(workers, unit)).to.deep.equal({ gang: ["c", "d"] });
    const wide = waiting("gang", { ...GANG, count: 4 }, { minimumSpeed: 0.8 });
    expect(place(workers, wide)).to.deep.equal({ gang: ["a", "b", "c", "d"] });
  });

  // Guards against workers whose speed stays unknown because no single task runs on them.
  it("get at most two tasks of a step with slack each to measure them", () => {
    const unmeasured = { isSpeedMeasured: false };
    const workers = [
      worker("a", 0.6),
      worker("b", 1, unmeasured),
      worker("c", 1),
    ];
    const units = Array.from(
      { length: 4 },
      (_, index) =>
        waiting(`task ${index}`, {
          need: { ...STEP.need, accelerators: 1 },
        }, { stepKey: "step" }),
    );
    const placed = place(workers, ...units);
    expect(Object.values(placed).flat()).to.deep.equal(["b", "b", "a", "a"]);
    const alike = workers.map((view) => ({ ...view, speed: 1 }));
    const names = Object.values(place(alike, ...units)).flat();
    expect(new Set(names).size).to.equal(1);
  });

  // Guards against a change of plans in deployments whose workers are alike.
  it("are placed on as without speeds if the speeds are equal", () => {
    const arbitraryWorkers = fc.array(
      fc.record({
        rack: fc.integer({ max: 2, min: 0 }),
        free: fc.integer({ min: 0, max: 8 }),
      }),
      { minLength: 1, maxLength: 8 },
    );
    const arbitraryUnits = fc.array(
      fc.record({
        count: fc.integer({ min: 1, max: 5 }),
        accelerators: fc.integer({ min: 0, max: 8 }),
        isGang: fc.boolean(),
        isRackBound: fc.boolean(),
        allowRemote: fc.boolean(),
        density: fc.integer({ min: 0, max: 3 }),
        minimumSpeed: fc.option(fc.double({ min: 0.1, max: 3, noNaN: true }), {
          nil: undefined,
        }),
      }),
      { maxLength: 8 },
    );
    fc.assert(
      fc.property(
        arbitraryWorkers,
        arbitraryUnits,
        fc.constantFrom(0.6, 1, 1.6),
        (cells, units, speed) => {
          const createWorkers = (ofSpeed: number) =>
            cells.map(({ rack, free }, index) =>
              worker(`w${index}`, ofSpeed, {
                rack: `rack-${rack}` as RackName,
                free: { ...CAPACITY, accelerators: free },
              })
            );
          const createUnits = (needsSpeed: boolean) =>
            units.map((unit, index) =>
              waiting(`u${index}`, {
                ...unit,
                need: { ...STEP.need, accelerators: unit.accelerators },
              }, {
                count: unit.isGang ? unit.count : 1,
                allowRemote: unit.allowRemote,
                rank: { tier: RANK_TIER.ORDINARY, density: unit.density },
                ...(needsSpeed ? { minimumSpeed: unit.minimumSpeed } : {}),
              })
            );
          const plan = planRound({
            workers: createWorkers(speed),
            waiting: createUnits(true),
            running: [],
          });
          expect(plan).to.deep.equal(planRound({
            workers: createWorkers(1),
            waiting: createUnits(false),
            running: [],
          }));
        },
      ),
      { seed: 20_261_204, numRuns: 300 },
    );
  });
});
