/** Tests that work which has lost all value takes no capacity from other work. */
import type {
  FailureDomainName,
  RackName,
  ServiceName,
  WorkerName,
} from "@coltsfootpond/common";
import { expect } from "chai";
import { RANK_TIER } from "../job_rank.ts";
import { planRound, type WaitingUnit } from "../plan_round.ts";
import type { StepSpec, WorkerView } from "../types.ts";

const SERVICE = "service" as ServiceName;
const NOTHING = { cpuMilli: 0, memoryMib: 0, accelerators: 0 };
const WHOLE = { cpuMilli: 8_000, memoryMib: 8_000, accelerators: 8 };
const STEP: StepSpec = {
  count: 1,
  need: WHOLE,
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

function createWorker(isFree: boolean): WorkerView {
  return {
    worker: "a" as WorkerName,
    service: SERVICE,
    failureDomain: "domain" as FailureDomainName,
    rack: "rack" as RackName,
    labels: new Set(),
    capacity: WHOLE,
    free: isFree ? WHOLE : NOTHING,
    releasing: NOTHING,
    slowness: 1,
    speed: 1,
    tasksByStep: new Map(),
  };
}

/** A unit that would be worth any eviction, by its gain alone. */
function createWaiting(tier: number, unit = "late"): WaitingUnit<string> {
  return {
    unit,
    organisation: undefined,
    service: SERVICE,
    step: STEP,
    stepKey: unit,
    count: 1,
    avoid: new Set(),
    rank: { tier, density: 1 },
    allowRemote: true,
    evictionGain: 100,
    displacementCost: 0,
    mayUseHeadroom: true,
  };
}

const RUNNING = {
  organisation: undefined,
  unit: "running",
  step: STEP,
  stepKey: "running",
  workers: ["a" as WorkerName],
  isEvictable: true,
  evictionCost: 0.01,
};

describe("work that has lost all value", () => {
  // Guards against lost work of runs that are stopped for a job which nobody waits for.
  it("evicts nothing, whatever gain is stated", () => {
    const planFor = (tier: number) =>
      planRound({
        workers: [createWorker(false)],
        waiting: [createWaiting(tier)],
        running: [RUNNING],
      }).evictions;
    expect(planFor(RANK_TIER.ORDINARY)).to.have.length(1);
    expect(planFor(RANK_TIER.WORTHLESS)).to.deep.equal([]);
  });

  it("displaces nothing, and starts where no other unit does", () => {
    const ordinary = createWaiting(RANK_TIER.ORDINARY, "ordinary");
    const late = createWaiting(RANK_TIER.WORTHLESS);
    const planWith = (waiting: readonly WaitingUnit<string>[]) =>
      planRound({ workers: [createWorker(true)], waiting, running: [] })
        .placements.map(({ unit }) => unit);
    expect(planWith([late, { ...ordinary, evictionGain: 0 }])).to.deep.equal([
      "ordinary",
    ]);
    expect(planWith([late])).to.deep.equal(["late"]);
  });
});
