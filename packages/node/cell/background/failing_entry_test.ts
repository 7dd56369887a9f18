/** One entry, as wired for the real program, over a store and workers that break. */
import {
  type FailureDomainName,
  ManualClock,
  SeededRandom,
} from "@coltsfootpond/common";
import type {
  CallerCodec,
  CellSettings,
  DeclaredState,
  RecordDecoder,
  StateStore,
  WorkerPort,
} from "@coltsfootpond/ports";
import { expect } from "chai";
import { CellEntry } from "../cell_entry.ts";
import { SIMULATION_BOUNDS } from "../cell_simulation.ts";
import type { CellLog, LogFields } from "../log.ts";
import { CellMeters } from "../meters/cell_meters.ts";
import { OrganisationQuotas } from "../quotas/organisation_quotas.ts";
import { createStoreFake } from "../test_fixtures.ts";

const ANY_PORT = { host: "127.0.0.1", port: 0 };
const SETTINGS: CellSettings = {
  entry: "a",
  failureDomain: "d" as FailureDomainName,
  callerAddress: ANY_PORT,
  readiness: ANY_PORT,
  peerAddress: ANY_PORT,
  seeds: [],
  storeAddress: ANY_PORT,
  rowLimitBytes: 65_536,
  storeReadsPerSecond: 2_000,
  memoryBytes: 350_000_000,
  descriptors: 4_100,
  processorShare: 1,
  workerHeartbeatMs: 1_500,
  bounds: SIMULATION_BOUNDS,
};

const NOTHING_DECLARED = {
  version: 1,
  queues: [],
  organisationByApiKey: new Map(),
  guarantees: [],
  shares: [],
  limits: { headerTimeoutMs: 5_000, keepAliveMs: 5_000 },
} as unknown as DeclaredState;

function breakCall(): never {
  throw new Error("broken call");
}

/** An entry whose store throws, rejects and answers by `kind` at the time of the call. */
function createEntry() {
  const clock = ManualClock.create();
  const state: { kind: "throws" | "rejects" | "works" } = { kind: "throws" };
  const events: { event: string; fields: LogFields }[] = [];
  const record = (event: string, fields: LogFields = {}) =>
    void events.push({ event, fields });
  const log: CellLog = { info: record, warn: record };
  const fake = createStoreFake();
  async function call<Outcome>(
    run: () => Promise<Outcome>,
    waitMs: number,
  ): Promise<Outcome> {
    await clock.sleep(waitMs);
    if (state.kind === "rejects") breakCall();
    return await run();
  }
  const begin = <Outcome>(run: () => Promise<Outcome>, waitMs = 4) =>
    state.kind === "throws" ? breakCall() : call(run, waitMs);
  const store: StateStore = {
    transact: (...values) => begin(() => fake.transact(...values)),
    read: (table, ...values) => {
      if (table === "state") return begin(() => fake.read(table, ...values));
      const value = new Uint8Array(0);
      const rows = table === "operators"
        ? [{ key: "declared", version: 1, value }]
        : [];
      const answer = { kind: "rows", rows, version: 1 } as const;
      return begin(() => Promise.resolve(answer));
    },
    follow: (table, after, waitMs, timeoutMs) => {
      const follow = () => fake.follow(table, after, waitMs, timeoutMs);
      return begin(follow, waitMs);
    },
  };
  const entry = CellEntry.create({
    settings: SETTINGS,
    store,
    workerPort: {} as WorkerPort,
    callerCodec: {} as CallerCodec,
    recordDecoder: {
      decodeDeclaredState: () => NOTHING_DECLARED,
      classifyOperatorRow: () => ({ kind: "declared_state" }),
    } as Partial<RecordDecoder> as RecordDecoder,
    clock,
    nowUnixMs: () => clock.nowMs(),
    random: SeededRandom.create(1),
    log,
    meters: CellMeters.create(),
  });
  const count = (name: string) =>
    events.filter(({ event }) => event === name).length;
  return { entry, clock, state, events, count, fake };
}

describe("an entry over a store that breaks", () => {
  // Guards against one failed call of the store that ends the process or a loop of the entry.
  it("keeps all its loops and schedules once the store works", async () => {
    const { entry, clock, state, count, fake } = createEntry();
    await entry.start();
    for (const kind of ["throws", "rejects", "throws"] as const) {
      state.kind = kind;
      await clock.advance(4_000);
    }
    expect(count("background.failed")).to.be.greaterThan(0);
    // Each activity writes at most five lines in ten seconds.
    expect(count("background.failed")).to.be.lessThan(60);
    state.kind = "works";
    await clock.advance(8_000);
    expect(count("lease.acquired")).to.equal(1);
    expect(count("scheduler.ready")).to.equal(1);
    expect(fake.keys()).to.include.members(["lease/holder", "peers/a"]);
    state.kind = "rejects";
    await clock.advance(4_000);
    state.kind = "works";
    await clock.advance(4_000);
    const renewedVersion = fake.rows().get("lease/holder")?.version ?? 0;
    await clock.advance(1_000);
    expect(fake.rows().get("lease/holder")?.version)
      .to.be.greaterThan(renewedVersion);
    await stop(entry, clock);
    expect(count("entry.stopped")).to.equal(1);
  });
});

describe("an entry whose scheduler fails", () => {
  const { createShares, recordEarlierPlacements } =
    OrganisationQuotas.prototype;

  afterEach(() => {
    OrganisationQuotas.prototype.createShares = createShares;
    OrganisationQuotas.prototype.recordEarlierPlacements =
      recordEarlierPlacements;
  });

  // Guards against a holder that keeps the lease without a scheduler.
  it("starts a new one from the store until that works", async () => {
    OrganisationQuotas.prototype.recordEarlierPlacements = breakCall;
    const { entry, clock, state, count } = createEntry();
    state.kind = "works";
    await entry.start();
    await clock.advance(60_000);
    expect(count("scheduler.ready")).to.equal(0);
    // After the first, one in 4 s and the time until the lease is acquired again.
    expect(count("lease.acquired")).to.be.within(10, 20);
    OrganisationQuotas.prototype.recordEarlierPlacements =
      recordEarlierPlacements;
    await clock.advance(10_000);
    expect(count("scheduler.ready")).to.equal(1);
    const changes = count("lease.acquired");
    await clock.advance(60_000);
    expect(count("lease.acquired")).to.equal(changes);
    await stop(entry, clock);
  });

  // Guards against a state in doubt that lasts, and against a lease that changes hands all the time
  // because of a fault that each scheduler has.
  it("replaces one whose rounds fail, ever more seldom", async () => {
    OrganisationQuotas.prototype.createShares = breakCall;
    const { entry, clock, state, count } = createEntry();
    state.kind = "works";
    await entry.start();
    await clock.advance(5_000);
    expect(count("lease.acquired")).to.be.within(2, 3);
    await clock.advance(300_000);
    expect(count("lease.acquired")).to.be.within(7, 12);
    OrganisationQuotas.prototype.createShares = createShares;
    await clock.advance(70_000);
    const changes = count("lease.acquired");
    await clock.advance(200_000);
    expect(count("lease.acquired")).to.equal(changes);
    await stop(entry, clock);
  });
});

async function stop(entry: CellEntry, clock: ManualClock): Promise<void> {
  const stopped = entry.stop();
  await clock.advance(SETTINGS.bounds.shutdownGraceMs);
  await stopped;
}
