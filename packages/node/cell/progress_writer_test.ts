import { ManualClock } from "@coltsfootpond/common";
import { expect } from "chai";
import { ProgressWriter } from "./progress_writer.ts";
import { SILENT_LOG } from "./log.ts";
import { decodeRow, encodeRow, type JobRow } from "./rows.ts";
import {
  createFollower,
  createJob,
  createStoreFake,
  NO_OTHER_RUNS,
} from "./test_fixtures.ts";

describe("progress writer", () => {
  it("continues after a timer that fires early and after a failed write", async () => {
    const clock = ManualClock.create();
    const store = createStoreFake();
    const job = createJob("00000000000000aa");
    let confirmed = 0;
    let isFirst = true;
    const writer = ProgressWriter.create({
      store: {
        ...store,
        transact: (transaction, timeoutMs) => {
          if (!isFirst) return store.transact(transaction, timeoutMs);
          isFirst = false;
          // A change during the write requests a later flush.
          writer.mark(job, false);
          return Promise.resolve({
            kind: "unavailable",
            effect: "lost",
            reason: "test",
          });
        },
      },
      follower: createFollower(store, clock),
      clock,
      nowUnixMs: () => 0,
      log: SILENT_LOG,
      canAct: () => true,
      rowLimitBytes: 65_536,
      findOtherRuns: () => NO_OTHER_RUNS,
      snapshotProcessedEnds: () => () => confirmed++,
      onClosed: () => {},
      onPlaced: () => {},
      onRejected: () => {},
      onNewerHolder: () => {},
    });
    writer.mark(job, true);
    await clock.advance(1_000);
    expect(confirmed).to.be.greaterThan(0);
    expect(store.keys()).to.deep.equal(["progress/00000000000000aa"]);
  });

  it("stores a job's end that comes while its progress is being written", async () => {
    const clock = ManualClock.create();
    const store = createStoreFake();
    const job = createJob("00000000000000bb");
    await store.transact({
      conditions: [],
      puts: [{
        key: "jobs-0/00000000000000bb",
        value: encodeRow({ kind: "live", spec: job.spec }),
      }],
      deletes: [],
    }, 1);
    job.rowVersion = 1;
    const writer = ProgressWriter.create({
      store: {
        ...store,
        transact: (transaction, timeoutMs) => {
          if (job.ending === undefined) {
            job.ending = "completed";
            writer.mark(job, true);
          }
          return store.transact(transaction, timeoutMs);
        },
      },
      follower: createFollower(store, clock),
      clock,
      nowUnixMs: () => 0,
      log: SILENT_LOG,
      canAct: () => true,
      rowLimitBytes: 65_536,
      findOtherRuns: () => NO_OTHER_RUNS,
      snapshotProcessedEnds: () => () => {},
      onClosed: (ended) => writer.forget(ended),
      onPlaced: () => {},
      onRejected: () => {},
      onNewerHolder: () => {},
    });
    writer.mark(job, true);
    await clock.advance(1_000);
    // The next write deletes the progress row of the ended job.
    writer.mark(createJob("00000000000000cc"), true);
    await clock.advance(1_000);
    expect([...store.keys()].sort()).to.deep.equal([
      "jobs-0/00000000000000bb",
      "progress/00000000000000cc",
    ]);
    const row = store.rows().get("jobs-0/00000000000000bb");
    expect(decodeRow<JobRow>(row!.value!).kind).to.equal("ended");
  });
});
