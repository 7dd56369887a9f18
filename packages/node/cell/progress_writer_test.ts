import { ManualClock } from "@coltsfootpond/common";
import { expect } from "chai";
import { ProgressWriter } from "./progress_writer.ts";
import { SILENT_LOG } from "./log.ts";
import { TableFollower } from "./table_follower.ts";
import { createJob, createStoreFake } from "./test_fixtures.ts";

describe("progress writer", () => {
  it("goes on after a timer that fires early and after a failed write", async () => {
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
          // A change that comes while the write is under way asks for a later flush.
          writer.mark(job, false);
          return Promise.resolve({
            kind: "unavailable",
            effect: "lost",
            reason: "test",
          });
        },
      },
      follower: TableFollower.create({
        table: "state",
        store,
        clock,
        random: { next: () => 0 },
        log: SILENT_LOG,
      }),
      clock,
      nowUnixMs: () => 0,
      log: SILENT_LOG,
      canAct: () => true,
      snapshotEnds: () => () => confirmed++,
      onClosed: () => {},
      onOvertaken: () => {},
    });
    writer.mark(job, true);
    await clock.advance(1_000);
    expect(confirmed).to.be.greaterThan(0);
    expect(store.keys()).to.deep.equal(["p/00000000000000aa"]);
  });
});
