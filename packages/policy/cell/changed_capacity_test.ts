import type {
  FailureDomainName,
  RackName,
  ServiceName,
  WorkerName,
} from "@coltsfootpond/common";
import { expect } from "chai";
import { RANK_TIER } from "./job_rank.ts";
import { planRound } from "./plan_round.ts";
import type { WorkerView } from "./types.ts";

const SERVICE = "service" as ServiceName;

function worker(name: string, capacity: number, used: number): WorkerView {
  const rest = { cpuMilli: 8_000, memoryMib: 8_000 };
  return {
    worker: name as WorkerName,
    service: SERVICE,
    failureDomain: "domain" as FailureDomainName,
    rack: "rack" as RackName,
    labels: new Set(),
    capacity: { ...rest, accelerators: capacity },
    free: { ...rest, accelerators: capacity - used },
    releasing: { cpuMilli: 0, memoryMib: 0, accelerators: 0 },
    slowness: 1,
    speed: 1,
    tasksByStep: new Map(),
  };
}

describe("a round with a worker that has shrunk below what runs on it", () => {
  // Guards against work that waits although another worker has room beyond the headroom.
  it("does not subtract its deficit from the free capacity of the others", () => {
    const plan = planRound({
      workers: [worker("shrunk", 1, 8), worker("free", 8, 0)],
      urgentHeadroom: new Map([[SERVICE, 2]]),
      running: [],
      waiting: [{
        organisation: undefined,
        unit: "unit",
        service: SERVICE,
        step: {
          count: 1,
          need: { cpuMilli: 100, memoryMib: 100, accelerators: 4 },
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
        stepKey: "step",
        count: 1,
        avoid: new Set(),
        rank: { tier: RANK_TIER.ORDINARY, density: 1 },
        allowRemote: false,
        evictionGain: 0,
        displacementCost: 0,
        mayUseHeadroom: false,
      }],
    });
    expect(plan.placements).to.deep.equal([{
      unit: "unit",
      workers: ["free"],
    }]);
  });
});
