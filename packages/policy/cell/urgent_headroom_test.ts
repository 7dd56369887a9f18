import type { ServiceName } from "@coltsfootpond/common";
import { expect } from "chai";
import fc from "fast-check";
import type { CellJobSpec, StepSpec, WorkerView } from "./types.ts";
import { computeUrgentHeadroom, UrgentDemand } from "./urgent_headroom.ts";

const SERVICE = "service" as ServiceName;
const OTHER_SERVICE = "other" as ServiceName;

function createSpec(
  acceptedUnixMs: number,
  tasks: number,
  service = SERVICE,
): CellJobSpec {
  const step = { count: tasks, need: { accelerators: 2 } } as StepSpec;
  return { service, acceptedUnixMs, steps: [step] } as unknown as CellJobSpec;
}

function createWorkers(
  count: number,
  service = SERVICE,
): readonly WorkerView[] {
  return Array.from(
    { length: count },
    () => ({ service, capacity: { accelerators: 8 } }) as WorkerView,
  );
}

describe("headroom for urgent jobs", () => {
  it("follows the accelerators that urgent jobs of each service asked for in the last seconds", () => {
    const demand = UrgentDemand.create();
    for (let acceptedMs = 0; acceptedMs < 20_000; acceptedMs += 500) {
      demand.record(createSpec(acceptedMs, 3));
    }
    demand.record(createSpec(19_000, 5, OTHER_SERVICE));
    const rates = demand.computeRatesPerS(20_000);
    expect(rates.get(SERVICE)).to.be.closeTo(12, 1.3);
    expect(rates.get(OTHER_SERVICE)).to.equal(2);
    expect([...demand.computeRatesPerS(30_000)]).to.deep.equal([]);
  });

  it("counts a job by when it was accepted, not by when this lease holder read it", () => {
    const demand = UrgentDemand.create();
    for (let job = 0; job < 500; job++) demand.record(createSpec(1_000, 9));
    expect([...demand.computeRatesPerS(60_000)]).to.deep.equal([]);
  });

  it("grows with the time that tasks take to stop, and never exceeds a fifth of the service's workers", () => {
    const headroom = (ratePerS: number, stopLimitMs: number) =>
      computeUrgentHeadroom({
        ratesPerS: new Map([[SERVICE, ratePerS]]),
        stopLimitMs,
        workers: [...createWorkers(10), ...createWorkers(90, OTHER_SERVICE)],
      }).get(SERVICE);
    expect(headroom(10, 200)).to.equal(4);
    expect(headroom(10, 400)).to.equal(8);
    fc.assert(
      fc.property(
        fc.integer({ min: 0, max: 100_000 }),
        fc.integer({ min: 0, max: 10_000 }),
        (ratePerS, stopLimitMs) => {
          expect(headroom(ratePerS, stopLimitMs)).to.be.within(0, 16);
        },
      ),
      { seed: 7 },
    );
  });
});
