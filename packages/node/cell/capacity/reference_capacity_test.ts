import type {
  FailureDomainName,
  RackName,
  ServiceName,
  WorkerName,
} from "@coltsfootpond/common";
import type { WorkerView } from "@coltsfootpond/policy";
import { expect } from "chai";
import { createPlanInput } from "../plan_input.ts";
import { createJob, createStep } from "../test_fixtures.ts";

const FULL = { cpuMilli: 8_000, memoryMib: 8_000, accelerators: 8 };

function createWorker(
  name: string,
  capacity: WorkerView["capacity"],
): WorkerView {
  return {
    worker: name as WorkerName,
    service: "service" as ServiceName,
    failureDomain: "domain" as FailureDomainName,
    rack: "rack" as RackName,
    labels: new Set(),
    capacity,
    free: capacity,
    releasing: { cpuMilli: 0, memoryMib: 0, accelerators: 0 },
    slowness: 1,
    speed: 1,
    tasksByStep: new Map(),
  };
}

describe("the work of a job", () => {
  // Guards against ranks that depend on how much some worker has shrunk.
  it("is measured by the largest capacity, whichever worker comes first", () => {
    const workers = [
      createWorker("shrunk", { ...FULL, accelerators: 0 }),
      createWorker("full", FULL),
    ];
    const need = { cpuMilli: 100, memoryMib: 100, accelerators: 8 };
    const large = createJob("00000000000000aa", {
      steps: [createStep({ need })],
    });
    large.openDueUnits(0, 0);
    const rank = (views: readonly WorkerView[]) =>
      createPlanInput({
        jobs: [large],
        workers: views,
        guarantees: [],
        nowMs: 0,
        nowUnixMs: 0,
        urgentRatesPerS: new Map(),
        stopLimitMs: 200,
        isBlocked: () => false,
      }).waiting[0]!.rank;
    expect(rank(workers)).to.deep.equal(rank([workers[1]!]));
    expect(rank([...workers].reverse())).to.deep.equal(rank([workers[1]!]));
  });
});
