/** Tests of the decision on one submitted job. */
import type { ServiceName } from "@coltsfootpond/common";
import { expect } from "chai";
import fc from "fast-check";
import {
  type CellJobId,
  type CellJobSpec,
  type QueueName,
  type StepSpec,
} from "../types.ts";
import {
  type AdmissionDecision,
  computeRetryAfterS,
  decideAdmission,
} from "./admission.ts";
import { AdmissionFloor, FLOOR_PERIOD } from "./admission_floor.ts";
import { DurationRatios } from "./duration_ratios.ts";
import {
  computeLevel,
  countWaves,
  GUARANTEED_LEVEL,
  type LoadForecast,
  type ServiceLoad,
} from "./load_forecast.ts";

const SEED = 20261204;
const SERVICE = "service" as ServiceName;
const QUEUE = "queue" as QueueName;
const WORKER = { cpuMilli: 128_000, memoryMib: 512_000, accelerators: 8 };

function createStep(overrides: Partial<StepSpec> = {}): StepSpec {
  return {
    count: 39,
    need: { cpuMilli: 1_000, memoryMib: 1_000, accelerators: 1 },
    estimateMs: 7_000,
    after: [],
    savesProgress: false,
    isGang: false,
    isRackBound: false,
    requiredLabel: undefined,
    dataRack: undefined,
    maximumPerWorker: undefined,
    isPersistent: false,
    isFiller: false,
    ...overrides,
  };
}

/** A wide job of the background queue. */
function createSpec(overrides: Partial<CellJobSpec> = {}): CellJobSpec {
  return {
    jobId: "00000000000000aa" as CellJobId,
    queue: QUEUE,
    service: SERVICE,
    organisation: undefined,
    priority: 2,
    maximumAttempts: 3,
    stretch: 3,
    allowanceMs: 1_000,
    acceptedUnixMs: 0,
    payload: "",
    steps: [createStep()],
    recurrence: undefined,
    ...overrides,
  };
}

/** A full service of 200 workers, with two minutes of guaranteed work waiting by default. */
function createLoad(overrides: Partial<ServiceLoad> = {}): ServiceLoad {
  return {
    service: SERVICE,
    reference: WORKER,
    free: { cpuMilli: 0, memoryMib: 0, accelerators: 0 },
    slots: [0, 0, 0, 0, 0, 0, 0, 0],
    headroomAccelerators: 0,
    hasEvictableRuns: false,
    rate: 200,
    runningWorkMs: 500_000,
    waiting: [[GUARANTEED_LEVEL, 200 * 120_000]],
    arriving: [],
    singleTaskRate: 200,
    waitingSingleTasks: overrides.waiting ??
      [[GUARANTEED_LEVEL, 200 * 120_000]],
    ...overrides,
  };
}

function decide(
  spec: CellJobSpec,
  load: ServiceLoad,
  { isGuaranteed = false, meanWorkMs = 35_000, durationRatio = 1 } = {},
): AdmissionDecision {
  const forecast: LoadForecast = {
    services: [load],
    queues: [{ queue: QUEUE, meanWorkMs, durationRatio }],
  };
  return decideAdmission({ spec, isGuaranteed, spread: 0 }, forecast);
}

const AMOUNT = fc.integer({ min: 0, max: 50_000_000 });
const LEVEL = fc.integer({ min: -80, max: 0 });
const LOAD: fc.Arbitrary<ServiceLoad> = fc.record({
  waiting: fc.array(fc.tuple(LEVEL, AMOUNT), { maxLength: 8 }),
  arriving: fc.array(fc.tuple(LEVEL, fc.integer({ min: 0, max: 600 })), {
    maxLength: 8,
  }),
  rate: fc.integer({ min: 1, max: 250 }),
  hasEvictableRuns: fc.boolean(),
  free: fc.integer({ min: 0, max: 200 }).map((accelerators) => ({
    cpuMilli: 1_000_000,
    memoryMib: 1_000_000,
    accelerators,
  })),
  headroomAccelerators: fc.integer({ min: 0, max: 50 }),
}).map((fields) => createLoad(fields));
const SPEC: fc.Arbitrary<CellJobSpec> = fc.record({
  priority: fc.integer({ min: 0, max: 2 }),
  stretch: fc.constantFrom(1.5, 3),
  allowanceMs: fc.integer({ min: 0, max: 3_000 }),
  steps: fc.record({
    count: fc.integer({ min: 1, max: 60 }),
    estimateMs: fc.integer({ min: 100, max: 12_000 }),
    accelerators: fc.integer({ min: 1, max: 8 }),
    isGang: fc.boolean(),
  }).map(({ count, estimateMs, accelerators, isGang }) => [createStep({
    count,
    estimateMs,
    isGang,
    need: { cpuMilli: 1_000, memoryMib: 1_000, accelerators },
  })]),
}).map((fields) => createSpec(fields));

describe("the decision on admission", () => {
  it("refuses a job that cannot end within three times its objective", () => {
    const decision = decide(createSpec(), createLoad());
    expect(decision).to.include({
      kind: "refuse",
      reason: "cannot end in time",
    });
  });

  // Guards against a refusal on a forecast that is off by less than the usual errors.
  it("admits a job that may just end within three times its objective", () => {
    const waiting = [[GUARANTEED_LEVEL, 200 * 66_000 / 0.7]] as const;
    expect(decide(createSpec(), createLoad({ waiting })).kind).to.equal(
      "refuse",
    );
    const less = [[GUARANTEED_LEVEL, 200 * 66_000]] as const;
    expect(decide(createSpec(), createLoad({ waiting: less })).kind).to.equal(
      "admit",
    );
  });

  // Guards against low work that takes capacity in a burst from jobs that could be on time.
  it("refuses a gang that would be late and displaces denser arrivals", () => {
    const gang = createSpec({ steps: [createStep({ isGang: true })] });
    const burst = createLoad({
      waiting: [[0, 200 * 30_000]],
      arriving: [[0, 200]],
    });
    expect(decide(gang, burst)).to.include({
      kind: "refuse",
      reason: "displaces more value",
    });
    const calm = createLoad({ waiting: [[0, 200 * 30_000]] });
    expect(decide(gang, calm).kind).to.equal("admit");
    const onTime = createLoad({ waiting: [], arriving: [[0, 200]] });
    expect(decide(gang, onTime).kind).to.equal("admit");
  });

  // Guards against refusals of single tasks that run in the gaps between gangs, although many wait.
  it("counts only waiting single tasks before single tasks, and their rate", () => {
    const gangs = createLoad({ waitingSingleTasks: [] });
    expect(decide(createSpec(), gangs).kind).to.equal("admit");
    const slow = createLoad({
      waiting: [],
      waitingSingleTasks: [[0, 20 * 120_000]],
      singleTaskRate: 20,
    });
    expect(decide(createSpec(), slow).kind).to.equal("refuse");
    const fast = { ...slow, singleTaskRate: 200 };
    expect(decide(createSpec(), fast).kind).to.equal("admit");
  });

  it("counts only work that comes before the job", () => {
    const waiting = [[-200, 200 * 600_000]] as const;
    expect(decide(createSpec(), createLoad({ waiting })).kind).to.equal(
      "admit",
    );
  });

  it("never refuses urgent jobs that a guarantee covers, or while evictable work runs", () => {
    const urgent = createSpec({ priority: 0 });
    expect(decide(urgent, createLoad()).kind).to.equal("refuse");
    expect(decide(urgent, createLoad(), { isGuaranteed: true }).kind).to.equal(
      "admit",
    );
    const evictable = createLoad({ hasEvictableRuns: true });
    expect(decide(urgent, evictable).kind).to.equal("admit");
    expect(decide(createSpec(), evictable).kind).to.equal("refuse");
  });

  it("never refuses jobs whose end cannot be forecast, or of a service without a backlog", () => {
    const persistent = createSpec({
      steps: [createStep({ isPersistent: true })],
    });
    const filler = createSpec({ steps: [createStep({ isFiller: true })] });
    const recurring = createSpec({
      recurrence: { times: 2, firstRunUnixMs: 0, intervalMs: 1 },
    });
    const other = createSpec({ service: "other" as ServiceName });
    for (const spec of [persistent, filler, recurring, other]) {
      expect(decide(spec, createLoad()).kind).to.equal("admit");
    }
  });

  // Guards against refusals while the workers could start all first tasks of the job.
  it("never refuses a job for which there is free capacity, whatever else waits", () => {
    fc.assert(
      fc.property(SPEC, LOAD, fc.integer({ min: 0, max: 20 }), (
        spec,
        load,
        more,
      ) => {
        const [{ count, need }] = spec.steps as [StepSpec];
        const accelerators = count * need.accelerators + more +
          load.headroomAccelerators;
        const free = { ...load.free, accelerators };
        const slots = load.slots.map(() => count);
        const waiting = [[GUARANTEED_LEVEL, 1e12]] as const;
        const roomy = {
          ...load,
          free,
          slots,
          waiting,
          waitingSingleTasks: waiting,
        };
        expect(decide(spec, roomy).kind).to.equal("admit");
        const full = { ...roomy, free: { ...free, accelerators: 0 } };
        if (!full.hasEvictableRuns) {
          expect(decide(spec, full).kind).to.equal("refuse");
        }
      }),
      { seed: SEED },
    );
  });

  // Guards against a refusal of the job that callers value more, of two that differ in nothing else.
  it("is monotone in priority and in value", () => {
    let refused = 0;
    fc.assert(
      fc.property(
        SPEC,
        LOAD,
        fc.integer({ min: 1_000, max: 200_000 }),
        fc.integer({ min: 1, max: 8 }),
        (spec, load, meanWorkMs, factor) => {
          if (decide(spec, load, { meanWorkMs }).kind === "refuse") {
            refused++;
            return;
          }
          for (let priority = 0; priority < spec.priority; priority++) {
            const higher = { ...spec, priority };
            expect(decide(higher, load, { meanWorkMs }).kind).to.equal("admit");
          }
          // A job is worth more, the smaller the mean job of its queue is in comparison.
          const smaller = { meanWorkMs: meanWorkMs / factor };
          expect(decide(spec, load, smaller).kind).to.equal("admit");
        },
      ),
      { seed: SEED, numRuns: 2_000 },
    );
    expect(refused).to.be.greaterThan(100);
  });
});

describe("free capacity for a job", () => {
  const LOAD_WITH_ROOM = createLoad({
    free: { cpuMilli: 100_000, memoryMib: 100_000, accelerators: 40 },
    slots: [40, 20, 10, 5, 0, 0, 0, 0],
    headroomAccelerators: 20,
  });

  it("excludes the headroom of urgent jobs, and workers with too few accelerators", () => {
    const { steps } = createSpec();
    expect(countWaves(steps, LOAD_WITH_ROOM, true)).to.equal(1);
    expect(countWaves(steps, LOAD_WITH_ROOM, false)).to.equal(2);
    const wide = [createStep({
      count: 1,
      need: { cpuMilli: 1, memoryMib: 1, accelerators: 5 },
    })];
    expect(countWaves(wide, LOAD_WITH_ROOM, true)).to.equal(Infinity);
    const later = createStep({ after: [0] });
    const steps2 = [createStep({ count: 1 }), later];
    expect(countWaves(steps2, LOAD_WITH_ROOM, false)).to.equal(1);
  });

  it("is needed for all tasks of a gang at once", () => {
    const gang = [createStep({ isGang: true })];
    expect(countWaves(gang, LOAD_WITH_ROOM, true)).to.equal(1);
    expect(countWaves(gang, LOAD_WITH_ROOM, false)).to.equal(Infinity);
  });

  // Guards against refusals of single tasks that run beside gangs which wait for more at once.
  it("lets a job in that can run on it in waves within its objective", () => {
    const withFree = (accelerators: number) =>
      createLoad({
        free: { cpuMilli: 100_000, memoryMib: 100_000, accelerators },
        slots: [accelerators, 0, 0, 0, 0, 0, 0, 0],
      });
    // The objective of 22 s has room for three waves of 7 s.
    expect(decide(createSpec(), withFree(13))).to.deep.equal({
      kind: "admit",
      reason: "free capacity in waves",
    });
    expect(decide(createSpec(), withFree(12)).kind).to.equal("refuse");
  });
});

describe("Retry-After", () => {
  const INPUTS = {
    aheadMs: 200 * 15_000,
    rate: 200,
    objectiveMs: 22_000,
    startMs: 0,
    endMs: 7_000,
  };

  // Guards against callers that were refused together and return together.
  it("spreads callers over half of the wait or more, from the expected time on", () => {
    const values = Array.from(
      { length: 100 },
      (_, index) => computeRetryAfterS(INPUTS, 200 * 1_000, index / 100),
    );
    expect(Math.min(...values)).to.equal(16);
    expect(Math.max(...values)).to.equal(32);
    expect(new Set(values).size).to.equal(17);
  });

  it("is at least 1 s, and within the time in which the job may have value", () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 0, max: 1e9 }),
        fc.integer({ min: 1, max: 250 }),
        fc.integer({ min: 4_000, max: 60_000 }),
        fc.double({ min: 0, max: 0.999, noNaN: true }),
        (aheadMs, rate, objectiveMs, spread) => {
          const inputs = { ...INPUTS, aheadMs, rate, objectiveMs };
          const value = computeRetryAfterS(inputs, 0, spread);
          expect(value).to.be.at.least(1);
          expect(Number.isInteger(value)).to.equal(true);
          const latestS = (3 * objectiveMs - 7_000) / 1_000;
          expect(value).to.be.at.most(Math.max(2, Math.ceil(latestS)));
        },
      ),
      { seed: SEED },
    );
  });
});

describe("the smallest admitted share", () => {
  // Guards against an organisation, a queue or a domain whose submissions are all refused.
  it("is kept for every key, however the submissions of the keys are mixed", () => {
    fc.assert(
      fc.property(
        fc.array(fc.constantFrom("a", "b", "c"), {
          minLength: 4 * FLOOR_PERIOD,
          maxLength: 400,
        }),
        fc.double({ min: 0, max: 0.999, noNaN: true }),
        (keys, phase) => {
          const floor = AdmissionFloor.create(() => phase);
          const sinceAdmitted = new Map<string, number>();
          for (const key of keys) {
            const since = floor.admits(key)
              ? 0
              : (sinceAdmitted.get(key) ?? 0) + 1;
            expect(since).to.be.lessThan(FLOOR_PERIOD);
            sinceAdmitted.set(key, since);
          }
        },
      ),
      { seed: SEED },
    );
  });

  // Guards against many entries each of which sees fewer submissions of a key than the period.
  it("is kept over entries that see one submission each", () => {
    const entries = 4 * FLOOR_PERIOD;
    const admitted = Array.from(
      { length: entries },
      (_, entry) => AdmissionFloor.create(() => entry / entries).admits("a"),
    ).filter(Boolean);
    expect(admitted).to.have.length(entries / FLOOR_PERIOD);
  });
});

describe("learned ratios of durations", () => {
  // Guards against refusals after one job whose estimate was wrong.
  it("follow many ends, and hardly a few", () => {
    const ratios = DurationRatios.create();
    expect(ratios.get(QUEUE)).to.equal(1);
    for (let end = 0; end < 5; end++) ratios.record(QUEUE, 1_900, 1_000);
    expect(ratios.get(QUEUE)).to.be.lessThan(1.2);
    for (let end = 0; end < 1_000; end++) ratios.record(QUEUE, 1_900, 1_000);
    expect(ratios.get(QUEUE)).to.be.within(1.75, 1.9);
  });
});

describe("levels of density", () => {
  it("grow with the density, also at its limits", () => {
    fc.assert(
      fc.property(
        fc.double({ min: 0, max: 1e300, noNaN: true }),
        fc.double({ min: 0, max: 1e300, noNaN: true }),
        (one, other) => {
          const [low, high] = [Math.min(one, other), Math.max(one, other)];
          expect(computeLevel(low)).to.be.at.most(computeLevel(high));
          expect(computeLevel(high)).to.be.lessThan(GUARANTEED_LEVEL);
        },
      ),
      { seed: SEED },
    );
  });
});
