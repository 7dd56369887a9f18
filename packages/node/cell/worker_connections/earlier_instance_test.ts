import {
  ManualClock,
  type WorkerAddress,
  type WorkerName,
} from "@coltsfootpond/common";
import type { RenewOutcome, WorkerPort } from "@coltsfootpond/ports";
import { expect } from "chai";
import { SIMULATION_BOUNDS } from "../cell_simulation.ts";
import { createTaskRun } from "../live_job.ts";
import { SILENT_LOG } from "../log.ts";
import type { SessionListener } from "../task_run.ts";
import { createJob } from "../test_fixtures.ts";
import { WorkerSession } from "../worker_session.ts";

const ANSWER_DELAY_MS = 300;
const REPORT: RenewOutcome = {
  kind: "report",
  metadata: { workerClockMs: 1, incarnationStartUnixMs: 1 },
  running: [],
  ended: [],
};

describe("an answer of the instance that had a worker's address before", () => {
  // Guards against ending a run by an answer to a request that was sent before the run's start.
  it("ends no run that was started after the worker took the address over", async () => {
    const clock = ManualClock.create();
    let polls = 0;
    const gone: string[] = [];
    const session = WorkerSession.create({
      target: { worker: "a" as WorkerName, address: "a:1" as WorkerAddress },
      epoch: 1,
      workerPort: {
        start: () => Promise.resolve({ kind: "started" }),
        renew: async () => {
          if (++polls > 1) return REPORT;
          await clock.sleep(ANSWER_DELAY_MS);
          return { kind: "wrong_life" };
        },
      } as unknown as WorkerPort,
      bounds: SIMULATION_BOUNDS,
      clock,
      log: SILENT_LOG,
      listener: {
        onGone: (_session, _taskRun, { reason }) => void gone.push(reason),
        onReport: () => {},
        onStarted: () => {},
      } as Partial<SessionListener> as SessionListener,
      canAct: () => true,
    });
    session.startPolling();
    await clock.advance(10);
    await session.pollNow();
    expect(session.hasReported).to.equal(true);
    const job = createJob("00000000000000aa");
    job.openDueUnits(0, 0);
    const [unit] = job.units.values();
    const taskRun = createTaskRun(unit!, 0, 1_000_001);
    session.reserve(taskRun);
    await session.start(taskRun, "payload");
    await clock.advance(ANSWER_DELAY_MS);
    expect(polls).to.be.greaterThan(1);
    session.stop();
    expect(gone).to.deep.equal([]);
    expect(session.hasTaskRuns).to.equal(true);
  });
});
