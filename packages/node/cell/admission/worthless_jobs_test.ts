/** Tests of the planner's input for urgent jobs that have lost all value. */
import type {
  FailureDomainName,
  RackName,
  ServiceName,
  WorkerName,
} from "@coltsfootpond/common";
import type { CellJobSpec, WorkerView } from "@coltsfootpond/policy";
import { expect } from "chai";
import { createPlanInput } from "../plan_input.ts";
import { createJob, createStep } from "../test_fixtures.ts";

const RESOURCES = { cpuMilli: 8_000, memoryMib: 8_000, accelerators: 8 };
const WORKER: WorkerView = {
  worker: "a" as WorkerName,
  service: "service" as ServiceName,
  failureDomain: "domain" as FailureDomainName,
  rack: "rack" as RackName,
  labels: new Set(),
  capacity: RESOURCES,
  free: RESOURCES,
  releasing: { cpuMilli: 0, memoryMib: 0, accelerators: 0 },
  slowness: 1,
  speed: 1,
  tasksByStep: new Map(),
};

/** The waiting unit of an urgent job of the given age, which has value for 9 s. */
function planUrgent(ageMs: number, overrides: Partial<CellJobSpec> = {}) {
  const job = createJob("00000000000000aa", { priority: 0, ...overrides });
  job.openDueUnits(0, 0);
  const { waiting } = createPlanInput({
    jobs: [job],
    workers: [WORKER],
    guarantees: [],
    nowMs: 0,
    nowUnixMs: ageMs,
    urgentRatesPerS: new Map(),
    stopLimitMs: 200,
    isBlocked: () => false,
  });
  return waiting[0]!;
}

describe("an urgent job that has lost all value", () => {
  // Guards against late jobs that take the capacity left free for those that may be on time.
  it("may neither evict nor use the headroom, unless its task is persistent", () => {
    expect(planUrgent(0)).to.include({ mayUseHeadroom: true });
    expect(planUrgent(0).evictionGain).to.be.greaterThan(0);
    expect(planUrgent(7_900)).to.include({ mayUseHeadroom: true });
    expect(planUrgent(8_100)).to.include({
      mayUseHeadroom: false,
      evictionGain: 0,
    });
    const persistent = { steps: [createStep({ isPersistent: true })] };
    expect(planUrgent(8_100, persistent)).to.include({ mayUseHeadroom: true });
    const recurring = {
      recurrence: { times: 2, firstRunUnixMs: 0, intervalMs: 60_000 },
    };
    expect(planUrgent(8_100, recurring)).to.include({ mayUseHeadroom: true });
  });
});
