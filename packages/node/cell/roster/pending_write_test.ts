import { ManualClock, type WorkerName } from "@coltsfootpond/common";
import type {
  RecordDecoder,
  RenewOutcome,
  StateStore,
  WorkerPort,
} from "@coltsfootpond/ports";
import { expect } from "chai";
import { SIMULATION_BOUNDS } from "../cell_simulation.ts";
import { SILENT_LOG } from "../log.ts";
import type { SessionListener } from "../task_run.ts";
import { createFollower, createStoreFake } from "../test_fixtures.ts";
import { WorkerFleet } from "../worker_fleet.ts";
import { WorkerFake } from "../workers_fake.ts";

const REPORT: RenewOutcome = {
  kind: "report",
  metadata: { workerClockMs: 1, incarnationStartUnixMs: 1 },
  running: [],
  ended: [],
};
const ODD = new Uint8Array([1]);

/** A fleet of the workers "a" and "b" whose roster is stored; writes take `store.writeMs`. */
async function createFleet() {
  const clock = ManualClock.create();
  const store = createStoreFake();
  const settings = { writeMs: 0, isAnswerLost: false };
  const values = new Map<string, Uint8Array>([
    ["a", new Uint8Array(0)],
    ["b", new Uint8Array(0)],
  ]);
  const slowStore: StateStore = {
    ...store,
    read: (table, ...rest) =>
      table === "workers"
        ? Promise.resolve({
          kind: "rows",
          version: 1,
          rows: [...values].map(([key, value]) => ({ key, version: 1, value })),
        })
        : store.read(table, ...rest),
    transact: async (transaction, timeoutMs) => {
      await clock.sleep(settings.writeMs);
      if (settings.isAnswerLost) {
        return { kind: "unavailable", effect: "lost", reason: "timeout" };
      }
      return await store.transact(transaction, timeoutMs);
    },
  };
  const fleet = WorkerFleet.create({
    epoch: 1,
    store: slowStore,
    workerPort: {
      renew: () => Promise.resolve(REPORT),
      forget: () => {},
    } as unknown as WorkerPort,
    recordDecoder: {
      decodeWorker: (key: string, value: Uint8Array) =>
        value === ODD
          ? { kind: "unusable", field: "value", expected: "a record" }
          : {
            kind: "record",
            record: {
              ...WorkerFake.create(key, clock, []).record,
              incarnationStartUnixMs: 1,
            },
          },
      decodeWorkerTarget: () => undefined,
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
    getSpeed: () => ({ speed: 1, isSpeedMeasured: false }),
    listener: { onReport: () => {} } as unknown as SessionListener,
    onChanged: () => {},
  });
  await fleet.read();
  await clock.advance(700);
  await fleet.read();
  await clock.advance(100);
  return { fleet, clock, settings, values };
}

describe("a write of the roster", () => {
  // Guards against an odd record under one worker's name that stops the starts on all the others
  // while the roster is written without that worker.
  it("does not keep tasks from workers that the stored row lists as well", async () => {
    const { fleet, clock, settings, values } = await createFleet();
    expect(fleet.mayStart("b" as WorkerName)).to.equal(true);
    settings.writeMs = 200;
    values.set("a", ODD);
    await fleet.read();
    await clock.advance(50);
    expect(fleet.mayStart("b" as WorkerName)).to.equal(true);
  });

  // Guards against the same for as long as writes of the roster are not answered.
  it("does not either when it is not answered", async () => {
    const { fleet, clock, settings, values } = await createFleet();
    settings.isAnswerLost = true;
    values.set("a", ODD);
    await fleet.read();
    await clock.advance(50);
    expect(fleet.mayStart("b" as WorkerName)).to.equal(true);
  });
});
