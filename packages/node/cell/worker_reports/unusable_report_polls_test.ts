import { ManualClock, type WorkerName } from "@coltsfootpond/common";
import { lost, type RenewOutcome, type WorkerPort } from "@coltsfootpond/ports";
import { expect } from "chai";
import { SIMULATION_BOUNDS } from "../cell_simulation.ts";
import { createTaskRun } from "../live_job.ts";
import { SILENT_LOG } from "../log.ts";
import type { SessionListener, TaskRun } from "../task_run.ts";
import { createJob } from "../test_fixtures.ts";
import { WorkerSession } from "../worker_session.ts";

const MAXIMUM_POLLS_PER_S = 20;
/** After which a run ends that a long poll waits for. */
const ANSWER_DELAY_MS = 100;

/** A run for which the worker is polled. */
function createRun(): TaskRun {
  const job = createJob("00000000000000aa");
  job.openDueUnits(0, 0);
  const [unit] = job.units.values();
  return createTaskRun(unit!, 0, 1);
}

/** Polls of a worker in a second in which its reports have these outcomes, and closed connections. */
async function countPolls(
  getOutcome: (clock: ManualClock, poll: number) => RenewOutcome,
) {
  const clock = ManualClock.create();
  let polls = 0;
  let closings = 0;
  const session = WorkerSession.create({
    target: { worker: "a" as WorkerName, address: "10.0.0.1:1" as never },
    epoch: 1,
    workerPort: {
      renew: async (_target, { longPollMs }) => {
        await clock.sleep(longPollMs > 0 ? ANSWER_DELAY_MS : 1);
        return getOutcome(clock, ++polls);
      },
      forget: () => closings++,
    } as Pick<WorkerPort, "renew" | "forget"> as WorkerPort,
    bounds: SIMULATION_BOUNDS,
    clock,
    log: SILENT_LOG,
    listener: {
      onReport: () => {},
      onStarted: () => {},
      onContactLost: () => {},
    } as Partial<SessionListener> as SessionListener,
    canAct: () => true,
  });
  session.reserve(createRun());
  session.startPolling();
  await clock.advance(1_000);
  session.stop();
  return { polls, closings };
}

describe("a worker whose reports cannot be used", () => {
  // Guards against polling it without a pause.
  it("is polled after the usual delay", async () => {
    const unreadable = await countPolls(() => lost("unreadable report: x"));
    expect(unreadable.polls).to.be.within(3, MAXIMUM_POLLS_PER_S);
  });

  // Guards, too, against closing connections over which commands are being sent.
  it("is polled over the same connections if only its clock is wrong", async () => {
    const { polls, closings } = await countPolls((clock, poll) => ({
      kind: "report",
      metadata: {
        workerClockMs: poll % 2 === 0 ? 1e9 : clock.nowMs(),
        incarnationStartUnixMs: 1,
      },
      running: [],
      ended: [],
    }));
    expect(polls).to.be.within(2, MAXIMUM_POLLS_PER_S);
    expect(closings).to.equal(0);
  });
});
