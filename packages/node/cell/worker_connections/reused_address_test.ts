import { ManualClock, type WorkerName } from "@coltsfootpond/common";
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
import type { SessionListener } from "../task_run.ts";
import { createFollower, createStoreFake } from "../test_fixtures.ts";
import { WorkerFleet } from "../worker_fleet.ts";
import { WorkerFake } from "../workers_fake.ts";

const ADDRESS = "10.0.0.1:1";
const REPORT: RenewOutcome = {
  kind: "report",
  metadata: { workerClockMs: 1, incarnationStartUnixMs: 1 },
  running: [],
  ended: [],
};

/** A fleet whose workers all have one address; `readRecords` sets which have a record. */
function createFleet() {
  const clock = ManualClock.create();
  const store = createStoreFake();
  const forgotten: WorkerName[] = [];
  let names: readonly string[] = [];
  const fleet = WorkerFleet.create({
    epoch: 1,
    store: {
      ...store,
      read: (table, ...rest) =>
        table === "workers"
          ? Promise.resolve({
            kind: "rows",
            version: 1,
            rows: names.map((key) => ({
              key,
              version: 1,
              value: new Uint8Array(0),
            })),
          })
          : store.read(table, ...rest),
    } as StateStore,
    workerPort: {
      renew: () => Promise.resolve(REPORT),
      forget: ({ worker }: WorkerTarget) => void forgotten.push(worker),
    } as unknown as WorkerPort,
    recordDecoder: {
      decodeWorker: (key: string) => ({
        kind: "record",
        record: {
          ...WorkerFake.create(key, clock, []).record,
          address: ADDRESS,
        },
      }),
    } as unknown as RecordDecoder,
    follower: createFollower(store, clock),
    clock,
    nowUnixMs: () => clock.nowMs(),
    log: SILENT_LOG,
    bounds: SIMULATION_BOUNDS,
    rowLimitBytes: 65_536,
    isDeclared: () => true,
    heartbeatMs: 1_500,
    canAct: () => true,
    isOut: () => false,
    getSpeed: () => ({ speed: 1 }),
    listener: {
      onReport: () => {},
      onStarted: () => {},
    } as unknown as SessionListener,
    onChanged: () => {},
  });
  const readRecords = async (...workers: readonly string[]) => {
    names = workers;
    await fleet.read();
    await clock.advance(1_000);
  };
  return { readRecords, forgotten };
}

describe("the connections to a worker's address", () => {
  // Guards against connections that are kept for workers that are gone. Those of the worker that has
  // taken over the address are its own.
  it("are closed with the session of the worker that they belong to", async () => {
    const { readRecords, forgotten } = createFleet();
    await readRecords("old");
    expect(forgotten).to.deep.equal([]);
    await readRecords("new");
    expect(forgotten).to.deep.equal(["old"]);
    await readRecords();
    expect(forgotten).to.deep.equal(["old", "new"]);
  });
});
