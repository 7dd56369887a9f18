import {
  ManualClock,
  type ServiceName,
  type WorkerName,
} from "@coltsfootpond/common";
import type {
  RecordDecoder,
  RenewOutcome,
  StateStore,
  WorkerPort,
  WorkerTarget,
} from "@coltsfootpond/ports";
import { expect } from "chai";
import { SIMULATION_BOUNDS } from "../cell_simulation.ts";
import { SILENT_LOG } from "../log.ts";
import { encodeRow, ROSTER_KEY } from "../rows.ts";
import type { SessionListener } from "../task_run.ts";
import { createFollower, createStoreFake } from "../test_fixtures.ts";
import { WorkerFleet } from "../worker_fleet.ts";
import { WorkerFake } from "../workers_fake.ts";

const DECLARED = "service" as ServiceName;
const FOREIGN = "meter-archive" as ServiceName;
/** The store's limit of a row (the platform's protocol). */
const MAXIMUM_ROW_BYTES = 65_536;
const ASCII = /^[!-~]+$/;
const FOREIGN_RECORDS = 450;
const REPORT: RenewOutcome = {
  kind: "report",
  metadata: { workerClockMs: 1, incarnationStartUnixMs: 1 },
  running: [],
  ended: [],
};

/** A fleet over a store that limits rows; `records` are the services of the workers by name. */
function createFleet(records: Readonly<Record<string, ServiceName>>) {
  const clock = ManualClock.create();
  const store = createStoreFake();
  const rows = Object.keys(records).map((key) => ({
    key,
    version: 1,
    value: new Uint8Array(0),
  }));
  const called = new Set<string>();
  const follower = createFollower(store, clock);
  const limitedStore: StateStore = {
    ...store,
    read: (table, ...rest) =>
      table === "workers"
        ? Promise.resolve({ kind: "rows", version: 1, rows })
        : store.read(table, ...rest),
    transact: (transaction, timeoutMs) =>
      transaction.puts.some(({ value }) => value.length > MAXIMUM_ROW_BYTES)
        ? Promise.resolve({
          kind: "unavailable",
          effect: "lost",
          reason: "status 400",
        })
        : store.transact(transaction, timeoutMs),
  };
  const options = {
    epoch: 1,
    store: limitedStore,
    workerPort: {
      renew: ({ worker, address }: WorkerTarget) => {
        called.add(`${worker} ${address}`);
        return Promise.resolve(REPORT);
      },
      forget: () => {},
    } as unknown as WorkerPort,
    recordDecoder: {
      decodeWorker: (key: string) => ({
        kind: "record",
        record: {
          ...WorkerFake.create(key, clock, []).record,
          service: records[key]!,
        },
      }),
      decodeWorkerTarget: (worker: unknown, address: unknown) =>
        typeof worker === "string" && ASCII.test(worker) &&
          typeof address === "string" && address.endsWith(":1")
          ? { worker, address }
          : undefined,
    } as unknown as RecordDecoder,
    follower,
    clock,
    nowUnixMs: () => clock.nowMs(),
    log: SILENT_LOG,
    bounds: SIMULATION_BOUNDS,
    rowLimitBytes: MAXIMUM_ROW_BYTES,
    isDeclared: (service: ServiceName) => service === DECLARED,
    heartbeatMs: 1_500,
    canAct: () => true,
    isOut: () => false,
    getSpeed: () => ({ speed: 1, isSpeedMeasured: false }),
    listener: { onReport: () => {} } as unknown as SessionListener,
    onChanged: () => {},
  };
  const fleet = WorkerFleet.create(options);
  const storeRoster = async (workers: readonly (readonly unknown[])[]) => {
    await store.transact({
      conditions: [],
      puts: [{ key: ROSTER_KEY, value: encodeRow({ workers } as never) }],
      deletes: [],
    }, 1);
    await follower.reload(0);
  };
  /** Reads the records as the lease holder does, and gives the calls time to be answered. */
  const read = async () => {
    await fleet.read();
    await clock.advance(700);
    await fleet.read();
    await clock.advance(100);
  };
  const listUsable = (): readonly WorkerName[] =>
    fleet.createUsableWorkerViews().map(({ worker }) => worker);
  return { fleet, storeRoster, read, listUsable, called };
}

describe("the roster of workers", () => {
  // Guards against an odd address that outlasts its record: each later holder called it again.
  it("opens no session with a stored worker that cannot be called", async () => {
    const { fleet, storeRoster, read, called, listUsable } = createFleet({
      good: DECLARED,
    });
    await storeRoster([
      ["good", "good:1"],
      ["port", "10.0.0.1:99999"],
      ["colon", "10.0.0.1"],
      ["na\u2013me", "10.0.0.2:1"],
      ["address", 7],
      [],
    ]);
    fleet.openRosterSessions();
    await read();
    expect([...called]).to.deep.equal(["good good:1"]);
    expect(listUsable()).to.deep.equal(["good"]);
  });

  // Guards against a holder that starts nothing because the roster is over the store's limit of a
  // row, which is refused and written again unchanged.
  it("stays writable however many workers other services record", async () => {
    const records: Record<string, ServiceName> = { good: DECLARED };
    for (let number = 0; number < FOREIGN_RECORDS; number++) {
      records[String(number).padStart(180, "x")] = FOREIGN;
    }
    const { read, listUsable } = createFleet(records);
    await read();
    expect(listUsable()).to.deep.equal(["good"]);
  });

  // Guards against a place in the roster for a worker that no task may run on.
  it("neither calls nor uses a worker of a service that is not declared", async () => {
    const { read, called, listUsable } = createFleet({
      good: DECLARED,
      foreign: FOREIGN,
    });
    await read();
    expect([...called]).to.deep.equal(["good good:1"]);
    expect(listUsable()).to.deep.equal(["good"]);
  });

  // Guards against a deployment that outgrows one row.
  it("is stored for more workers than fit into one row", async () => {
    const names = Array.from(
      { length: 3_900 },
      (_, number) => `i-${String(number).padStart(8, "0")}`,
    );
    const { read, listUsable } = createFleet(
      Object.fromEntries(names.map((name) => [name, DECLARED])),
    );
    await read();
    expect(listUsable()).to.have.length(names.length);
  });
});
