import {
  ManualClock,
  type WorkerAddress,
  type WorkerName,
} from "@coltsfootpond/common";
import type { WorkerPort } from "@coltsfootpond/ports";
import { expect } from "chai";
import { SIMULATION_BOUNDS } from "../cell_simulation.ts";
import { SILENT_LOG } from "../log.ts";
import type { SessionListener } from "../task_run.ts";
import { WorkerSession } from "../worker_session.ts";

const MAXIMUM_POLLS_PER_S = 20;

describe("a report of an undecided incarnation", () => {
  // Guards against polling without a pause a worker whose reports name no incarnation any more.
  it("leads to another report after a delay", async () => {
    const clock = ManualClock.create();
    let polls = 0;
    const session = WorkerSession.create({
      target: { worker: "a" as WorkerName, address: "a:1" as WorkerAddress },
      epoch: 1,
      workerPort: {
        renew: async () => {
          await clock.sleep(1);
          polls++;
          const incarnationStartUnixMs = polls === 1 ? 1 : 0;
          return {
            kind: "report",
            metadata: { workerClockMs: clock.nowMs(), incarnationStartUnixMs },
            running: [],
            ended: [],
          };
        },
      } as Pick<WorkerPort, "renew"> as WorkerPort,
      bounds: SIMULATION_BOUNDS,
      clock,
      log: SILENT_LOG,
      listener: { onReport: () => {} } as Partial<
        SessionListener
      > as SessionListener,
      canAct: () => true,
    });
    session.startPolling();
    await clock.advance(100);
    await Promise.all([session.pollNow(), clock.advance(1_000)]);
    session.stop();
    expect(polls).to.be.within(3, MAXIMUM_POLLS_PER_S);
  });
});
