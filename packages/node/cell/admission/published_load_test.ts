/** Tests of when an entry may decide by the published load; otherwise every job is admitted. */
import { ManualClock, type ServiceName } from "@coltsfootpond/common";
import { expect } from "chai";
import { collectUnhandledErrors } from "../fakes/unhandled_errors.ts";
import { RENEW_PERIOD_MS } from "../lease/lease_times.ts";
import { SILENT_LOG } from "../log.ts";
import {
  encodeRow,
  LEASE_KEY,
  type LeaseRow,
  LOAD_KEY,
  type LoadRow,
} from "../rows.ts";
import { createFollower, createStoreFake } from "../test_fixtures.ts";
import { MAXIMUM_LOAD_AGE_MS, PublishedLoad } from "./published_load.ts";

const LOAD: LoadRow = {
  epoch: 3,
  beat: 100,
  services: [{
    service: "service" as ServiceName,
    reference: { cpuMilli: 1, memoryMib: 1, accelerators: 8 },
    free: { cpuMilli: 0, memoryMib: 0, accelerators: 0 },
    slots: [],
    headroomAccelerators: 0,
    hasEvictableRuns: false,
    rate: 1,
    runningWorkMs: 0,
    waiting: [[1, 2]],
    arriving: [],
    singleTaskRate: 1,
    waitingSingleTasks: [],
  }],
  queues: [],
};
const LEASE: LeaseRow = {
  holder: "front-1",
  incarnation: "i",
  epoch: 3,
  beat: 100,
  isReleased: false,
  handedOverUnixMs: 0,
};

function createEntry() {
  const clock = ManualClock.create();
  const follower = createFollower(createStoreFake(), clock);
  const warnings: string[] = [];
  let storeDownMs = 0;
  let version = 0;
  const load = PublishedLoad.create({
    follower,
    clock,
    log: { ...SILENT_LOG, warn: (event) => warnings.push(event) },
    getStoreDownMs: () => storeDownMs,
  });
  const put = (key: string, value: Uint8Array) =>
    follower.apply([{ key, version: ++version, value }]);
  return {
    clock,
    load,
    warnings,
    setStoreDownMs: (ms: number) => (storeDownMs = ms),
    putBytes: put,
    putLoad: (overrides: Partial<LoadRow> = {}) =>
      put(LOAD_KEY, encodeRow({ ...LOAD, ...overrides })),
    putLease: (overrides: Partial<LeaseRow> = {}) =>
      put(LEASE_KEY, encodeRow({ ...LEASE, ...overrides })),
  };
}

describe("the published load", () => {
  it("is usable with its age, its version and its epoch", async () => {
    const { clock, load, putLoad, putLease } = createEntry();
    putLease();
    putLoad();
    await clock.advance(1_200);
    expect(load.usable).to.deep.include({ ageMs: 1_200, version: 2, epoch: 3 });
    expect(load.usable?.forecast.services).to.deep.equal(LOAD.services);
  });

  it("is not used without a row or without a lease", () => {
    const withoutRow = createEntry();
    withoutRow.putLease();
    expect(withoutRow.load.usable).to.equal(undefined);
    const withoutLease = createEntry();
    withoutLease.putLoad();
    expect(withoutLease.load.usable).to.equal(undefined);
  });

  // Guards against refusals by the load before an outage of the store or of the lease holder.
  it("is not used once it is older than 3 s on this entry's clock", async () => {
    const { clock, load, putLoad, putLease } = createEntry();
    putLease();
    putLoad();
    await clock.advance(MAXIMUM_LOAD_AGE_MS);
    expect(load.usable).to.not.equal(undefined);
    await clock.advance(1);
    expect(load.usable).to.equal(undefined);
  });

  // Guards against a row that an entry receives late, when it starts or after a cut.
  it("is not used if the lease was renewed for 3 s since it was written", () => {
    const { load, putLoad, putLease } = createEntry();
    const renewals = Math.floor(MAXIMUM_LOAD_AGE_MS / RENEW_PERIOD_MS);
    putLoad();
    putLease({ beat: LOAD.beat + renewals });
    expect(load.usable).to.not.equal(undefined);
    putLease({ beat: LOAD.beat + renewals + 1 });
    expect(load.usable).to.equal(undefined);
  });

  it("is not used after a change of the holder, a release, or while the store is away", () => {
    const { load, putLoad, putLease, setStoreDownMs } = createEntry();
    putLease();
    putLoad();
    setStoreDownMs(1);
    expect(load.usable).to.equal(undefined);
    setStoreDownMs(0);
    expect(load.usable).to.not.equal(undefined);
    putLease({ isReleased: true });
    expect(load.usable).to.equal(undefined);
    putLease({ epoch: 4, beat: 101 });
    expect(load.usable).to.equal(undefined);
    putLoad({ epoch: 4, beat: 101 });
    expect(load.usable).to.not.equal(undefined);
  });

  it("is not used if it cannot be read, which the log says, until it can", () => {
    const { load, warnings, putLoad, putLease, putBytes } = createEntry();
    putLease();
    putLoad();
    putBytes(LOAD_KEY, new Uint8Array([0xc1, 1, 2]));
    expect(load.usable).to.equal(undefined);
    putLoad({ services: [{} as never] });
    expect(load.usable).to.equal(undefined);
    putLoad({ services: [{ ...LOAD.services[0]!, rate: 0 }] });
    expect(load.usable).to.equal(undefined);
    expect(warnings).to.deep.equal(Array(3).fill("load.unreadable"));
    putLoad();
    expect(load.usable).to.not.equal(undefined);
  });

  // Guards against an error that ends the process, and against refusals by the load of a holder that
  // is no longer known.
  it("is not used while the row of the lease cannot be decoded", async () => {
    const { load, putLoad, putLease, putBytes } = createEntry();
    const errors = await collectUnhandledErrors(() => {
      putLease();
      putLoad();
      for (const value of [new Uint8Array([0xc1, 1, 2]), encodeRow(LOAD)]) {
        putBytes(LEASE_KEY, value);
        expect(load.usable).to.equal(undefined);
      }
      putLease();
      expect(load.usable).to.not.equal(undefined);
    });
    expect(errors).to.deep.equal([]);
  });

  it("is not used with an epoch or a beat that is no integer", () => {
    const { load, putLoad, putLease, warnings } = createEntry();
    putLease();
    putLoad({ beat: 100.5 });
    putLoad({ epoch: 2 ** 60 });
    expect(load.usable).to.equal(undefined);
    expect(warnings).to.deep.equal(Array(2).fill("load.unreadable"));
  });
});
