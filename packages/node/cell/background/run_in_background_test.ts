import { ManualClock } from "@coltsfootpond/common";
import { expect } from "chai";
import { Subject } from "rxjs";
import type { CellLog, LogFields } from "../log.ts";
import { CellMeters } from "../meters/cell_meters.ts";
import { BACKGROUND_ACTIVITY } from "./activities.ts";
import { limitFailureLines } from "./failure_log_limit.ts";
import {
  guard,
  keepRunning,
  runInBackground,
  subscribeGuarded,
} from "./run_in_background.ts";

const { TICK, POLL_WORKER } = BACKGROUND_ACTIVITY;

function createRecordingLog() {
  const failures: LogFields[] = [];
  const log: CellLog = {
    info: () => {},
    warn: (event, fields = {}) => {
      if (event === "background.failed") failures.push(fields);
    },
  };
  return { log, failures };
}

function fail(): never {
  throw new Error("broken");
}

describe("background work", () => {
  it("reports errors that are thrown and promises that reject", async () => {
    const { log, failures } = createRecordingLog();
    runInBackground(log, TICK, fail);
    runInBackground(log, POLL_WORKER, async () => {
      await Promise.resolve();
      fail();
    }, { worker: "w1" });
    guard(log, TICK, fail)();
    await new Promise((resolve) => setImmediate(resolve));
    expect(failures.map(({ activity, worker }) => [activity, worker])).to.deep
      .equal([[TICK, undefined], [TICK, undefined], [POLL_WORKER, "w1"]]);
    expect(failures[0]?.detail).to.match(/^Error: broken\n +at fail/);
  });

  it("reports whatever is thrown, in a bounded length", () => {
    const { log, failures } = createRecordingLog();
    const thrown = [
      "x".repeat(100_000),
      undefined,
      Object.create(null),
      new Error("y".repeat(100_000)),
    ];
    for (const error of thrown) {
      runInBackground(log, TICK, () => {
        throw error;
      });
    }
    expect(failures).to.have.lengthOf(thrown.length);
    for (const { detail } of failures) {
      expect(String(detail).length).to.be.within(1, 2_000);
    }
  });

  it("calls a failing subscriber again, and the others each time", () => {
    const { log, failures } = createRecordingLog();
    const source = new Subject<number>();
    const received: number[] = [];
    subscribeGuarded(source, log, TICK, fail);
    subscribeGuarded(source, log, TICK, (value) => received.push(value));
    source.next(1);
    source.next(2);
    expect(failures).to.have.lengthOf(2);
    expect(received).to.deep.equal([1, 2]);
  });

  it("restarts a failing loop after a growing, bounded delay until it is stopped", async () => {
    const { log, failures } = createRecordingLog();
    const clock = ManualClock.create();
    const startsMs: number[] = [];
    let isStopped = false;
    const running = keepRunning(
      { clock, log, activity: TICK, isStopped: () => isStopped },
      () => {
        startsMs.push(clock.nowMs());
        return Promise.reject(new Error("broken"));
      },
    );
    await clock.advance(60_000);
    const delaysMs = startsMs.slice(1).map((startMs, index) =>
      startMs - startsMs[index]!
    );
    expect(delaysMs.slice(0, 9)).to.deep.equal(
      [50, 100, 200, 400, 800, 1_600, 3_200, 5_000, 5_000],
    );
    expect(failures).to.have.lengthOf(startsMs.length);
    isStopped = true;
    await clock.advance(10_000);
    await running;
    expect(failures).to.have.lengthOf(startsMs.length);
  });

  // Guards against a failure at every call that fills the log.
  it("counts every failure by activity and logs a bounded number", async () => {
    const { log, failures } = createRecordingLog();
    const clock = ManualClock.create();
    const meters = CellMeters.create();
    const counted = meters.countEvents(limitFailureLines(log, clock));
    for (let number = 0; number < 1_000; number++) {
      runInBackground(counted, TICK, fail);
    }
    runInBackground(counted, POLL_WORKER, fail);
    expect(failures).to.have.lengthOf(6);
    await clock.advance(10_000);
    runInBackground(counted, TICK, fail);
    expect(failures.at(-1)).to.include({ activity: TICK, suppressed: 995 });
    const lines = (await meters.format()).split("\n");
    expect(lines).to.include(
      'coltsfootpond_events_total{event="background.failed"} 1002',
    );
    expect(lines).to.include(
      'coltsfootpond_background_failures_total{activity="tick"} 1001',
    );
  });
});
