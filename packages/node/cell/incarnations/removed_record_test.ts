import {
  ManualClock,
  type WorkerAddress,
  type WorkerName,
} from "@coltsfootpond/common";
import type { TaskName } from "@coltsfootpond/policy";
import type {
  RunningTask,
  Unavailable,
  WorkerPort,
} from "@coltsfootpond/ports";
import { expect } from "chai";
import { SIMULATION_BOUNDS } from "../cell_simulation.ts";
import { SILENT_LOG } from "../log.ts";
import type { SessionListener } from "../task_run.ts";
import { WorkerSession } from "../worker_session.ts";
import { CONNECTION_LOST, UNANSWERED } from "../workers_fake.ts";

const WORKER = "a" as WorkerName;
const NEED = { cpuMilli: 1_000, memoryMib: 1_000, accelerators: 1 };
const RUNNING: RunningTask = {
  task: "00000000000000cc.0.0.0" as TaskName,
  run: 1,
  checkpoint: "",
  percent: 1,
};

/** A session that follows a run which incarnation 2 has listed. */
async function createSession() {
  const clock = ManualClock.create();
  const gone: string[] = [];
  const listener: Partial<SessionListener> = {
    onGone: (_session, _taskRun, { reason }) => void gone.push(reason),
    onReport: () => {},
    onStarted: () => {},
    onContactLost: () => {},
    onStray: (session, running) =>
      void session.adopt(running, {
        need: NEED,
        account: { kind: "unknown" },
        stepKey: "",
      }),
  };
  let failure: Unavailable | undefined;
  const renew: WorkerPort["renew"] = async () => {
    await clock.sleep(10);
    return failure ?? {
      kind: "report",
      metadata: { workerClockMs: clock.nowMs(), incarnationStartUnixMs: 2 },
      running: [RUNNING],
      ended: [],
    };
  };
  const session = WorkerSession.create({
    target: { worker: WORKER, address: "a:1" as WorkerAddress },
    epoch: 1,
    workerPort: { renew } as WorkerPort,
    bounds: SIMULATION_BOUNDS,
    clock,
    log: SILENT_LOG,
    listener: listener as SessionListener,
    canAct: () => true,
  });
  session.startPolling();
  await clock.advance(100);
  const markLeft = async (incarnationStartUnixMs: number) => {
    session.markLeft({
      worker: WORKER,
      incarnationStartUnixMs,
      heartbeat: 1,
      heartbeatAgeMs: 1,
      monotonicAgeMs: 1,
      wallAgeMs: 1,
      recordLifetimeMs: 4_500,
      recordAgeMs: 9_000,
    });
    await clock.advance(300);
  };
  return {
    clock,
    session,
    gone,
    markLeft,
    fail: (outcome: Unavailable) => void (failure = outcome),
  };
}

describe("a worker's record that was removed early", () => {
  // Guards against ending a run of the present incarnation with the removal of another one's record.
  it("ends the listed runs only of the incarnation that it names", async () => {
    const { session, gone, markLeft, fail } = await createSession();
    fail(CONNECTION_LOST);
    for (const earlierOrSetBack of [1, 3]) await markLeft(earlierOrSetBack);
    expect(session.taskRuns).to.have.length(1);
    await markLeft(2);
    expect(gone).to.deep.equal(["the worker has left"]);
  });

  // Guards against ending a run whose worker goes on or has only fallen silent.
  it("ends no run of a worker that answers or does not refuse the connection", async () => {
    const { session, markLeft, fail } = await createSession();
    await markLeft(2);
    fail(UNANSWERED);
    await markLeft(2);
    expect(session.taskRuns).to.have.length(1);
  });

  // Guards against counting a removal that an answer has refuted since.
  it("ends no run when the connection is refused only after an answer", async () => {
    const { clock, session, markLeft, fail } = await createSession();
    await markLeft(2);
    fail(CONNECTION_LOST);
    await clock.advance(300);
    expect(session.taskRuns).to.have.length(1);
  });
});
