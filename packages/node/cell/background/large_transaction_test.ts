import { ManualClock } from "@coltsfootpond/common";
import type { StateStore } from "@coltsfootpond/ports";
import { expect } from "chai";
import { SILENT_LOG } from "../log.ts";
import { ProgressWriter } from "../progress_writer.ts";
import {
  createFollower,
  createJob,
  createStoreFake,
  NO_OTHER_RUNS,
} from "../test_fixtures.ts";

/** The store's limit of a transaction and of a row's value (the platform's protocol). */
const TRANSACTION_BYTES = 1_048_576;
const ROW_BYTES = 65_536;
const JOBS = 30;
const TASKS = 50;

describe("the progress of several jobs", () => {
  // Guards against jobs whose rows fit one by one, but not into one transaction: it is refused and
  // sent again unchanged, and no end of any run is acknowledged.
  it("is stored when it is larger than a transaction of the store", async () => {
    const clock = ManualClock.create();
    const fake = createStoreFake();
    let largestRow = 0;
    const store: StateStore = {
      ...fake,
      transact: (transaction, timeoutMs) => {
        const sizes = transaction.puts.map(({ value }) => value.length * 4 / 3);
        largestRow = Math.max(largestRow, ...sizes);
        return sizes.reduce((sum, size) => sum + size, 0) > TRANSACTION_BYTES
          ? Promise.resolve({
            kind: "unavailable",
            effect: "lost",
            reason: "status 400",
          })
          : fake.transact(transaction, timeoutMs);
      },
    };
    let confirmed = 0;
    const writer = ProgressWriter.create({
      store,
      follower: createFollower(store, clock),
      clock,
      nowUnixMs: () => 0,
      log: SILENT_LOG,
      canAct: () => true,
      findOtherRuns: () => NO_OTHER_RUNS,
      snapshotProcessedEnds: () => () => confirmed++,
      onClosed: () => {},
      onPlaced: () => {},
      onNewerHolder: () => {},
      rowLimitBytes: ROW_BYTES,
      onRejected: () => {},
    });
    for (let number = 0; number < JOBS; number++) {
      const job = createJob(String(number).padStart(16, "0"));
      for (let index = 0; index < TASKS; index++) {
        const address = { occurrence: 0, step: 0, index };
        job.progress.recordCheckpoint(address, "c".repeat(900));
      }
      writer.mark(job, true);
    }
    await clock.advance(5_000);
    expect(largestRow).to.be.below(ROW_BYTES);
    expect(fake.keys()).to.have.length(JOBS);
    expect(confirmed).to.be.greaterThan(0);
  });
});
