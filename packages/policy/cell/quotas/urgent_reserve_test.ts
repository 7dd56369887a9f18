import { expect } from "chai";
import type { OrganisationName, ServiceName } from "@coltsfootpond/common";
import { planRound } from "../plan_round.ts";
import type { CellJobSpec, StepSpec } from "../types.ts";
import { UrgentDemand } from "../urgent_headroom.ts";
import {
  A,
  createNeed,
  createShares,
  createStepOf,
  createWaiting,
  createWorkers,
} from "./quota_fixtures.ts";
import { computeUrgentReserve } from "./urgent_reserve.ts";

const ONE = createStepOf(1);
const ORDINARY = { mayUseHeadroom: false };

function plan(waiting: readonly ReturnType<typeof createWaiting>[]) {
  const shares = createShares([[A, { accelerators: 8 }]]);
  const urgentReserves = new Map([[A, { ...createNeed(1), cpuMilli: 0 }]]);
  return planRound({
    workers: createWorkers(["v", "w"]),
    running: [],
    waiting,
    shares: { ...shares, urgentReserves },
  }).placements.map(({ unit }) => unit);
}

describe("the reserve of a quota for urgent jobs", () => {
  // Guards against urgent jobs that wait until their organisation's other tasks have stopped.
  it("is left free by other work and may be used by urgent work", () => {
    const units = Array.from({ length: 9 }, (_, index) => `${index}`);
    const ordinary = units.map((unit) => createWaiting(unit, A, ONE, ORDINARY));
    expect(plan(ordinary)).to.have.length(7);
    const urgent = units.map((unit) => createWaiting(unit, A, ONE));
    expect(plan(urgent)).to.have.length(8);
  });

  // Guards against a unit nearly as wide as the quota that never starts.
  it("may be used by a unit that could never start beside it", () => {
    const whole = createStepOf(8);
    expect(plan([createWaiting("whole", A, whole, ORDINARY)])).to.deep.equal([
      "whole",
    ]);
  });

  it("follows what urgent jobs asked for, and is at most a fifth of the quota", () => {
    const reserve = (ratio: number) =>
      computeUrgentReserve({
        ratePerS: createNeed(ratio),
        quota: createNeed(100),
        stopLimitMs: 500,
      });
    expect(reserve(10)).to.deep.equal(createNeed(10));
    expect(reserve(1_000)).to.deep.equal(createNeed(20));
  });

  it("is measured for each organisation over the last seconds", () => {
    const demand = UrgentDemand.create();
    const step: Partial<StepSpec> = { count: 3, need: createNeed(2) };
    const record = (organisation: OrganisationName | undefined) =>
      demand.record({
        service: "service" as ServiceName,
        organisation,
        acceptedUnixMs: 1_000,
        steps: [step],
      } as unknown as CellJobSpec);
    record(A);
    record(A);
    record(undefined);
    const rates = demand.computeOrganisationRatesPerS(2_000);
    expect([...rates.keys()]).to.deep.equal([A]);
    expect(rates.get(A)?.accelerators).to.be.closeTo(2.4, 1e-9);
    expect(demand.computeOrganisationRatesPerS(9_000).size).to.equal(0);
  });
});
