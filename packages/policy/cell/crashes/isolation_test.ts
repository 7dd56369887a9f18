import type {
  FailureDomainName,
  RackName,
  ServiceName,
  WorkerName,
} from "@coltsfootpond/common";
import { expect } from "chai";
import { RANK_TIER } from "../job_rank.ts";
import { planRound, type WaitingUnit } from "../plan_round.ts";
import type { WorkerView } from "../types.ts";
import { ISOLATION, type Isolation } from "./isolation.ts";

const SERVICE = "service" as ServiceName;
const CAPACITY = { cpuMilli: 8_000, memoryMib: 8_000, accelerators: 8 };

/** A worker on which `tasks` small tasks run. */
function worker(name: string, tasks = 0): WorkerView {
  return {
    worker: name as WorkerName,
    service: SERVICE,
    failureDomain: "domain" as FailureDomainName,
    rack: "rack" as RackName,
    labels: new Set(),
    capacity: CAPACITY,
    free: { ...CAPACITY, accelerators: 8 - tasks },
    releasing: { cpuMilli: 0, memoryMib: 0, accelerators: 0 },
    slowness: 1,
    speed: 1,
    tasksByStep: new Map(tasks > 0 ? [["running", tasks]] : []),
  };
}

/** A unit of one small task; units of a higher density come first. */
function waiting(
  unit: string,
  isolation: Isolation,
  density: number,
): WaitingUnit<string> {
  return {
    unit,
    organisation: undefined,
    isolation,
    service: SERVICE,
    step: {
      count: 1,
      need: { cpuMilli: 100, memoryMib: 100, accelerators: 1 },
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
    },
    stepKey: unit.slice(0, 1),
    count: 1,
    avoid: new Set(),
    rank: { tier: RANK_TIER.ORDINARY, density },
    allowRemote: false,
    evictionGain: 0,
    displacementCost: 0,
    mayUseHeadroom: true,
  };
}

function plan(
  workers: readonly WorkerView[],
  units: readonly WaitingUnit<string>[],
) {
  const { placements } = planRound({ workers, waiting: units, running: [] });
  return Object.fromEntries(
    placements.map(({ unit, workers }) => [unit, workers[0]]),
  );
}

describe("an isolated unit", () => {
  it("starts only on an empty worker, which others then leave alone", () => {
    const units = [
      waiting("x", ISOLATION.EMPTY_WORKERS, 2),
      waiting("y", ISOLATION.NONE, 1),
    ];
    expect(plan([worker("a", 1), worker("b")], units)).to.deep.equal({
      x: "b",
      y: "a",
    });
    expect(plan([worker("b")], units)).to.deep.equal({ x: "b" });
  });

  it("does not start on a worker on which another unit starts in the round", () => {
    for (
      const isolation of [ISOLATION.EMPTY_WORKERS, ISOLATION.NO_OTHER_STARTS]
    ) {
      const units = [
        waiting("y", ISOLATION.NONE, 2),
        waiting("x", isolation, 1),
      ];
      expect(plan([worker("a")], units)).to.deep.equal({ y: "a" });
    }
  });

  it("may start beside running units when it need not be alone", () => {
    const units = [
      waiting("x", ISOLATION.NO_OTHER_STARTS, 2),
      waiting("y", ISOLATION.NONE, 1),
    ];
    expect(plan([worker("a", 3)], units)).to.deep.equal({ x: "a" });
  });

  // Guards against holding up the other units of a step, which need no empty worker.
  it("does not keep other units of its step from starting when it does not fit", () => {
    const units = [
      waiting("x1", ISOLATION.EMPTY_WORKERS, 2),
      waiting("x2", ISOLATION.NONE, 1),
    ];
    expect(plan([worker("a", 1)], units)).to.deep.equal({ x2: "a" });
  });
});
