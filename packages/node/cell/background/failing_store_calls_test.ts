import { ManualClock, SeededRandom } from "@coltsfootpond/common";
import { lost, type StateRow, type StateStore } from "@coltsfootpond/ports";
import { expect } from "chai";
import { Subject } from "rxjs";
import { DirectPath } from "../direct_path.ts";
import { SchedulerLease } from "../lease/scheduler_lease.ts";
import { type CellLog, SILENT_LOG } from "../log.ts";
import { PeerRowsPoller } from "../peer_rows_poller.ts";
import { encodeRow, jobKey } from "../rows.ts";
import { SeenVersion, TableFollower } from "../table_follower.ts";
import {
  createFollower,
  createSpec,
  createStoreFake,
} from "../test_fixtures.ts";
import { BACKGROUND_ACTIVITY } from "./activities.ts";

const SPEC = createSpec("00000000000000cc");

/** A store in memory whose calls throw or reject, in turn, while it is broken. */
function createBreakingStore() {
  const fake = createStoreFake();
  const state = { isBroken: true, brokenCalls: 0 };
  function call<Outcome>(run: () => Promise<Outcome>): Promise<Outcome> {
    if (!state.isBroken) return run();
    const error = new Error("broken call");
    if (++state.brokenCalls % 2 === 0) return Promise.reject(error);
    throw error;
  }
  const store: StateStore = {
    transact: (...values) => call(() => fake.transact(...values)),
    read: (...values) => call(() => fake.read(...values)),
    follow: (...values) => call(() => fake.follow(...values)),
  };
  return { fake, store, state };
}

function createRecordingLog() {
  const failed: unknown[] = [];
  const log: CellLog = {
    info: () => {},
    warn: (event, fields) => {
      if (event === "background.failed") failed.push(fields?.activity);
    },
  };
  return { log, failed };
}

function createRunningFollower(
  store: StateStore,
  clock: ManualClock,
  log: CellLog,
): TableFollower {
  const random = SeededRandom.create(1);
  const seen = SeenVersion.create();
  const options = { store, clock, random, seen, log };
  // An empty feed answers at once, so that a delay is needed between polls.
  const getDelayMs = () => 50;
  return TableFollower.create({ ...options, table: "state", getDelayMs });
}

describe("a store whose calls break", () => {
  // Guards against a copy that is never updated again after one failed call.
  it("is followed again once they work", async () => {
    const { fake, store, state } = createBreakingStore();
    const clock = ManualClock.create();
    const { log, failed } = createRecordingLog();
    const follower = createRunningFollower(store, clock, log);
    const running = follower.run();
    await clock.advance(3_000);
    expect(state.brokenCalls).to.be.within(4, 30);
    state.isBroken = false;
    const key = jobKey(SPEC.jobId);
    const value = encodeRow({ kind: "live", spec: SPEC });
    const write = { conditions: [], puts: [{ key, value }], deletes: [] };
    await fake.transact(write, 1);
    await clock.advance(6_000);
    expect(follower.get(key)).not.to.equal(undefined);
    expect(failed).to.have.lengthOf(state.brokenCalls);
    follower.stop();
    await clock.advance(1_000);
    await running;
  });

  // Guards against a subscriber's error that rxjs throws on a timer, where nothing catches it.
  it("is followed on although a subscriber throws", async () => {
    const { log, failed } = createRecordingLog();
    const clock = ManualClock.create();
    const follower = createRunningFollower(createStoreFake(), clock, log);
    const received: StateRow[] = [];
    follower.onChanged(BACKGROUND_ACTIVITY.APPLY_PEER_ROWS, () => {
      throw new Error("broken subscriber");
    });
    follower.onChanged(BACKGROUND_ACTIVITY.APPLY_JOB_ROWS, (rows) => {
      received.push(...rows);
    });
    const value = new Uint8Array(0);
    follower.apply([{ key: "a", version: 1, value }]);
    follower.apply([{ key: "a", version: 2, value }]);
    await new Promise((resolve) => setTimeout(resolve, 5));
    expect(received.map(({ version }) => version)).to.deep.equal([1, 2]);
    expect(failed).to.deep.equal(["apply_peer_rows", "apply_peer_rows"]);
  });

  // Guards against a path that counts as down for ever, as no further probe is made.
  it("is probed until a probe works", async () => {
    const { store, state } = createBreakingStore();
    const clock = ManualClock.create();
    const path = DirectPath.create({ store, clock, log: SILENT_LOG });
    const read = () =>
      path.call({ kind: "read", arguments: ["state", {}, 100] });
    expect(await read()).to.include({ kind: "unavailable", effect: "lost" });
    expect(path.isDown).to.equal(true);
    await clock.advance(2_000);
    expect(path.isDown).to.equal(true);
    state.isBroken = false;
    await clock.advance(500);
    expect(path.isDown).to.equal(false);
    state.isBroken = true;
    await read();
    expect(path.isDown).to.equal(true);
    state.isBroken = false;
    await clock.advance(500);
    expect(path.isDown).to.equal(false);
  });

  // Guards against an entry that asks no peer any more after one failed call.
  it("is replaced by peers' copies after a call to a peer has failed", async () => {
    const clock = ManualClock.create();
    const { log, failed } = createRecordingLog();
    const follower = createFollower(createStoreFake(), clock);
    await follower.reload(0);
    const directLosses = new Subject<void>();
    let calls = 0;
    const poller = PeerRowsPoller.create({
      relay: {
        isDirectDown: true,
        directLosses,
        fetchOperatorRows: () =>
          ++calls === 1
            ? Promise.reject(new Error("broken call"))
            : Promise.resolve(lost("no answer")),
      },
      follower,
      clock,
      log,
    });
    directLosses.next();
    await clock.advance(3_000);
    expect(calls).to.be.greaterThan(3);
    expect(failed).to.deep.equal(["copy_peer_rows"]);
    poller.stop();
  });

  // Guards against a lease that is not renewed after one failed renewal, and against two renewals
  // at a time.
  it("does not keep the lease from being renewed once they work", async () => {
    const { store, state } = createBreakingStore();
    const clock = ManualClock.create();
    const { log, failed } = createRecordingLog();
    state.isBroken = false;
    const follower = createFollower(store, clock);
    await follower.reload(0);
    const lease = SchedulerLease.create({
      entry: "a",
      incarnation: "a-1",
      processorShare: 1,
      getProcessorShares: () => ({ largest: 1, count: 1 }),
      store,
      follower,
      clock,
      nowUnixMs: () => clock.nowMs(),
      random: { next: () => 0 },
      log,
    });
    lease.changes.subscribe(() => {});
    lease.start();
    await clock.advance(500);
    expect(lease.canAct()).to.equal(true);
    state.isBroken = true;
    await clock.advance(500);
    expect(failed.length).to.be.greaterThan(1);
    expect(new Set(failed)).to.deep.equal(new Set(["lease"]));
    state.isBroken = false;
    await clock.advance(3_000);
    expect(lease.canAct()).to.equal(true);
  });
});
