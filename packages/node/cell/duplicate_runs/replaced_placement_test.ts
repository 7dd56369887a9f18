import { ManualClock } from "@coltsfootpond/common";
import type { TransactOutcome } from "@coltsfootpond/ports";
import { expect } from "chai";
import type { Unit, UnitRun } from "../live_job.ts";
import { SILENT_LOG } from "../log.ts";
import { ProgressWriter } from "../progress_writer.ts";
import {
  createFollower,
  createJob,
  createStoreFake,
  NO_OTHER_RUNS,
} from "../test_fixtures.ts";

function createRun(run: number): UnitRun {
  return {
    run,
    taskRuns: new Map(),
    incarnations: new Map(),
    startedMs: 0,
    isPending: true,
    isClosing: false,
  };
}

describe("a placement that is replaced while it is being stored", () => {
  // Guards against sending the starts of a run whose own placement is not stored.
  it("confirms only the run that the stored row names", async () => {
    const clock = ManualClock.create();
    const store = createStoreFake();
    const job = createJob("00000000000000aa");
    job.openDueUnits(0, 0);
    const unit = [...job.units.values()][0]!;
    unit.run = createRun(1);
    const placed: { run: number; isStored: boolean }[] = [];
    const storedRuns: number[] = [];
    const writer = ProgressWriter.create({
      store: {
        ...store,
        transact: (transaction, timeoutMs): Promise<TransactOutcome> => {
          storedRuns.push(unit.run!.run);
          if (unit.run!.run === 1) {
            unit.run = createRun(2);
            writer.mark(job, true);
          }
          return store.transact(transaction, timeoutMs);
        },
      },
      follower: createFollower(store, clock),
      clock,
      nowUnixMs: () => 0,
      log: SILENT_LOG,
      rowLimitBytes: 65_536,
      onRejected: () => {},
      canAct: () => true,
      findOtherRuns: () => NO_OTHER_RUNS,
      snapshotProcessedEnds: () => () => {},
      onClosed: () => {},
      onPlaced: ({ run }: Unit) => {
        const isStored = storedRuns.includes(run!.run);
        placed.push({ run: run!.run, isStored });
      },
      onNewerHolder: () => {},
    });
    writer.mark(job, true);
    await clock.advance(1_000);
    expect(storedRuns).to.deep.equal([1, 2]);
    expect(placed).to.deep.equal([{ run: 2, isStored: true }]);
  });
});
