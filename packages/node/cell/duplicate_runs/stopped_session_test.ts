import {
  ManualClock,
  type WorkerAddress,
  type WorkerName,
} from "@coltsfootpond/common";
import type { TaskName } from "@coltsfootpond/policy";
import type { RenewCommand, WorkerPort } from "@coltsfootpond/ports";
import { expect } from "chai";
import { SIMULATION_BOUNDS } from "../cell_simulation.ts";
import { createTaskRun } from "../live_job.ts";
import { SILENT_LOG } from "../log.ts";
import type { SessionListener } from "../task_run.ts";
import { createJob } from "../test_fixtures.ts";
import { WorkerSession } from "../worker_session.ts";

const JOB = "00000000000000cc";
const TASK = `${JOB}.0.0.0` as TaskName;

describe("a worker's session that was stopped", () => {
  // Guards against a lease of an earlier epoch after the entry has acquired the next one.
  it("grants no lease although the entry may act again", async () => {
    const clock = ManualClock.create();
    const job = createJob(JOB);
    job.openDueUnits(0, 0);
    const unit = [...job.units.values()][0]!;
    let grants = 0;
    const workerPort: Pick<WorkerPort, "renew"> = {
      renew: async (_target, { leaseUntilMs }: RenewCommand) => {
        if (leaseUntilMs !== undefined) grants++;
        await clock.sleep(10);
        return {
          kind: "report",
          metadata: { workerClockMs: clock.nowMs(), incarnationStartUnixMs: 1 },
          running: [{ task: TASK, run: 1, checkpoint: "", percent: 1 }],
          // An end that is not stored delays the next poll.
          ended: [{
            sequence: 1,
            task: "other" as TaskName,
            run: 1,
            end: "done",
            checkpoint: "",
          }],
        };
      },
    };
    const listener: Partial<SessionListener> = {
      onReport: () => {},
      onStarted: () => {},
      onEnded: () => {},
    };
    const session = WorkerSession.create({
      target: { worker: "a" as WorkerName, address: "a:1" as WorkerAddress },
      epoch: 1,
      workerPort: workerPort as WorkerPort,
      bounds: SIMULATION_BOUNDS,
      clock,
      log: SILENT_LOG,
      listener: listener as SessionListener,
      canAct: () => true,
    });
    session.reserve(createTaskRun(unit, 0, 1));
    session.startPolling();
    await clock.advance(1_000);
    session.stop();
    const grantsBefore = grants;
    expect(grantsBefore).to.be.greaterThan(0);
    await clock.advance(2_000);
    expect(grants).to.equal(grantsBefore);
  });
});
