import {
  ManualClock,
  type WorkerAddress,
  type WorkerName,
} from "@coltsfootpond/common";
import type { TaskName } from "@coltsfootpond/policy";
import type {
  StartCommand,
  StartOutcome,
  WorkerPort,
} from "@coltsfootpond/ports";
import { expect } from "chai";
import { CellSimulation, SIMULATION_BOUNDS } from "../cell_simulation.ts";
import { createTaskRun } from "../live_job.ts";
import { SILENT_LOG } from "../log.ts";
import type { SessionListener } from "../task_run.ts";
import { createJob, createSpec, createStep } from "../test_fixtures.ts";
import { WorkerSession } from "../worker_session.ts";

const STARTED: StartOutcome = { kind: "started" };

/** A session whose worker answers a start when `answer` is called. */
function createSession() {
  const clock = ManualClock.create();
  const strays: TaskName[] = [];
  const listener: Pick<SessionListener, "onGone" | "onStarted" | "onStray"> = {
    onStarted: () => {},
    onGone: () => {},
    onStray: (_session, { task }) => void strays.push(task),
  };
  let answer: (outcome: StartOutcome) => void = () => {};
  const session = WorkerSession.create({
    target: { worker: "a" as WorkerName, address: "a:1" as WorkerAddress },
    epoch: 1,
    workerPort: {
      start: () => new Promise((resolve) => (answer = resolve)),
      renew: () => Promise.resolve({ kind: "wrong_life" }),
    } as unknown as WorkerPort,
    bounds: SIMULATION_BOUNDS,
    clock,
    log: SILENT_LOG,
    listener: listener as SessionListener,
    canAct: () => true,
  });
  return { clock, session, strays, answer: () => answer(STARTED) };
}

describe("a start that is answered late", () => {
  // Guards against closing the session that waits for the answer.
  it("is stopped in a cell whose worker's record was removed meanwhile", async () => {
    const simulation = CellSimulation.create(["a", "b"]);
    const { clock } = simulation;
    const worker = simulation.get("a");
    simulation.startScheduler();
    // The record that is removed below has a recent heartbeat. A poll and then a read of the records
    // come within the time-out of the start.
    await clock.advance(2_560);
    const start = worker.start.bind(worker);
    Object.defineProperty(worker, "start", {
      value: (command: StartCommand) =>
        clock.sleep(240).then(() => start(command)),
    });
    const steps = [createStep({ requiredLabel: "a" })];
    await simulation.submit(createSpec("00000000000000cc", { steps }));
    await clock.advance(30);
    Object.defineProperty(worker, "storedRecord", { value: undefined });
    // Polls show another instance at the address until just before the start is answered.
    worker.isReplaced = true;
    await clock.advance(215);
    worker.isReplaced = false;
    await clock.advance(9_000);
    expect(simulation.history.map(({ end }) => end)).to.deep.equal(["stopped"]);
  });

  // Guards against forgetting a run that was taken as over while its start was on its way.
  it("makes its run a stray when the run was dropped meanwhile", async () => {
    const { clock, session, strays, answer } = createSession();
    const job = createJob("00000000000000aa");
    job.openDueUnits(0, 0);
    const [unit] = job.units.values();
    const taskRun = createTaskRun(unit!, 0, 1_000_001);
    session.reserve(taskRun);
    const start = session.start(taskRun, "payload");
    await clock.advance(1);
    // Another instance answers a poll at the worker's address.
    await session.pollNow();
    expect(session.hasTaskRuns).to.equal(false);
    answer();
    await start;
    session.stop();
    expect(strays).to.deep.equal([taskRun.task]);
  });
});
