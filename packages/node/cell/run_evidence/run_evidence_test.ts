import type { StartCommand } from "@coltsfootpond/ports";
import { expect } from "chai";
import { CellSimulation, SIMULATION_BOUNDS } from "../cell_simulation.ts";
import type { LogFields } from "../log.ts";
import { createSpec, createStep } from "../test_fixtures.ts";
import type { WorkerFake } from "../workers_fake.ts";

const JOB = "00000000000000cc";
const TASK = `${JOB}.0.0.0`;
const UNIT = `${JOB}.0.0.0`;
/** A task that takes a whole worker. */
const LARGE_NEED = { cpuMilli: 8_000, memoryMib: 8_000, accelerators: 8 };

interface Line extends LogFields {
  readonly event: string;
}

/** A cell whose log lines are collected as the daemon writes them. */
function createLoggedCell(names: readonly string[]) {
  const simulation = CellSimulation.create(names);
  const lines: Line[] = [];
  const write = (event: string, fields: LogFields = {}) =>
    void lines.push(JSON.parse(JSON.stringify({ event, ...fields })));
  simulation.log = { info: write, warn: write };
  const find = (event: string, fields: LogFields = {}) =>
    lines.filter((line) =>
      line.event === event &&
      Object.entries(fields).every(([key, value]) => line[key] === value)
    );
  return { simulation, find };
}

/** A cell with one task that runs since about a second. */
async function createRunningCell(names: readonly string[]) {
  const cell = createLoggedCell(names);
  const { simulation } = cell;
  // Records that are removed below have a recent heartbeat.
  simulation.startScheduler();
  await simulation.clock.advance(1_700);
  await simulation.submit(createSpec(JOB));
  await simulation.clock.advance(1_300);
  return { ...cell, worker: findRunning(simulation) };
}

function findRunning(simulation: CellSimulation): WorkerFake {
  const [worker] = [...simulation.workers.values()].filter(({ running }) =>
    running.length > 0
  );
  return worker!;
}

/** A gang of two; the worker of one task does not answer the second lease holder. */
async function createPartlyReportedCell() {
  const cell = createLoggedCell(["a", "b", "c", "d"]);
  const { simulation } = cell;
  const { clock } = simulation;
  const steps = [createStep({ count: 2, isGang: true, need: LARGE_NEED })];
  await simulation.submit(createSpec(JOB, { steps, maximumAttempts: 9 }));
  const first = simulation.startScheduler();
  await clock.advance(1_000);
  const [reported, unreported] = [...simulation.workers.values()].filter((
    { running },
  ) => running.length > 0);
  simulation.stopScheduler(first);
  unreported!.isDisconnected = true;
  simulation.startScheduler();
  await clock.advance(1_000);
  return { ...cell, reported: reported!, unreported: unreported! };
}

describe("the log of a conclusion that a run is over", () => {
  // Guards against a removed record whose heartbeat's age, and the limit for it, are not logged.
  it("names the heartbeat and both ages when a worker's record was removed early", async () => {
    const { simulation, find, worker } = await createRunningCell(["a", "b"]);
    Object.assign(worker.record, { isDraining: true });
    await simulation.clock.advance(4_500);
    worker.leave(true);
    await simulation.clock.advance(1_500);
    const [left] = find("worker.left");
    const [gone] = find("task.gone");
    expect(gone).to.include({
      task: TASK,
      worker: worker.record.worker,
      reason: "the worker has left",
      isListed: true,
      incarnationStartUnixMs: 1,
    });
    expect(left!.recordLifetimeMs).to.equal(4_500);
    for (const line of [left!, gone!]) {
      expect(line.monotonicAgeMs).to.be.within(0, 4_499);
      expect(line.wallAgeMs).to.equal(line.monotonicAgeMs);
      expect(line.recordAgeMs).to.be.greaterThan(4_500);
    }
  });

  // Guards against a 421 of which the log shows neither the address nor what the run had answered.
  it("names the address when another instance answers there", async () => {
    const { simulation, find, worker } = await createRunningCell(["a", "b"]);
    worker.isReplaced = true;
    await simulation.clock.advance(1_500);
    const [gone] = find("task.gone");
    expect(gone).to.include({
      task: TASK,
      address: worker.record.address,
      epoch: 1,
      incarnationStartUnixMs: 1,
      reason: "the worker has left its address",
      isListed: true,
    });
    expect(gone!.requestedAfterMs).to.be.greaterThan(0);
    expect(gone!.startSentAgoMs).to.be.greaterThan(1_000);
    expect(gone!.startAnsweredAgoMs).to.be.greaterThan(1_000);
  });

  // Guards against a restart of which the log doesn't show why its report is the later one.
  it("names how much later the report of a new incarnation was requested", async () => {
    const { simulation, find, worker } = await createRunningCell(["a", "b"]);
    worker.restart(2_345);
    await simulation.clock.advance(2_000);
    const [restarted] = find("worker.restarted");
    const [gone] = find("task.gone");
    expect(gone).to.include({
      task: TASK,
      reason: "the worker began a new life",
      earlierStartUnixMs: 1,
      incarnationStartUnixMs: 2_345,
    });
    for (const line of [restarted!, gone!]) {
      expect(line.requestedAfterMs).to.be.greaterThan(0);
    }
    expect(gone!.reportedClockMs).to.be.greaterThan(0);
  });

  // Guards against lapsed leases whose end and clock can't be compared in the log.
  it("names the latest lease end and the worker's clock when the leases have lapsed", async () => {
    const { simulation, find, worker } = await createRunningCell(["a", "b"]);
    worker.isDisconnected = true;
    await simulation.clock.advance(8_000);
    const [gone] = find("task.gone");
    expect(gone).to.include({ task: TASK, reason: "the lease has lapsed" });
    const { leaseMaximumMs } = SIMULATION_BOUNDS;
    const read = (name: string) => Number(gone![name]);
    expect(read("workerClockMs") + 0.98 * read("sampleAgeMs")).to.be
      .greaterThan(read("latestLeaseEndMs"));
    // The long poll that the last report answered had granted the maximum up to a second before.
    expect(read("latestLeaseEndMs") - read("reportedClockMs")).to.be.within(
      leaseMaximumMs - 1_100,
      leaseMaximumMs + 100,
    );
  });

  // Guards against a report that doesn't list the run and may have been requested too early.
  it("names when the report was requested that does not list the run", async () => {
    const { simulation, find, worker } = await createRunningCell(["a", "b"]);
    const { renew } = worker;
    worker.renew = (command) => {
      const outcome = renew.call(worker, command);
      return outcome.kind === "report" ? { ...outcome, running: [] } : outcome;
    };
    await simulation.clock.advance(1_500);
    const [gone] = find("task.gone");
    expect(gone).to.include({
      task: TASK,
      reason: "not listed by the worker",
      answered: "start",
    });
    expect(gone!.requestedAfterMs).to.be.greaterThan(0);
  });

  // Guards against a unit that a new holder starts again for a reason that the log doesn't show.
  it("names why the workers of an earlier placement no longer count", async () => {
    const { simulation, find, reported, unreported } =
      await createPartlyReportedCell();
    reported.end(reported.running[0]!, "failed");
    await simulation.clock.advance(10_000);
    const [first, second] = find("unit.started", { unit: UNIT });
    expect(first).to.not.have.property("earlierPlacement");
    const earlier = second!.earlierPlacement as LogFields;
    expect(earlier).to.deep.include({
      reported: [reported.record.worker],
      unreported: [unreported.record.worker],
      wasPlacedByThisHolder: false,
    });
    expect(earlier.holderAgeMs).to.be.greaterThan(
      earlier.longestLeaseMs as number,
    );
  });

  // Guards against a start that is answered after its run was dropped, without a line in the log.
  it("shows a start that is answered after its run was dropped", async () => {
    const { simulation, find } = createLoggedCell(["a", "b"]);
    const { clock } = simulation;
    const worker = simulation.get("a");
    simulation.startScheduler();
    await clock.advance(2_760);
    const start = worker.start.bind(worker);
    worker.start =
      ((command: StartCommand) =>
        clock.sleep(200).then(() =>
          start(command)
        )) as unknown as typeof worker.start;
    const steps = [createStep({ requiredLabel: "a" })];
    await simulation.submit(createSpec(JOB, { steps }));
    await clock.advance(30);
    // Polls show another instance at the address until just before the start is answered.
    worker.isReplaced = true;
    await clock.advance(150);
    worker.isReplaced = false;
    await clock.advance(2_000);
    const [gone] = find("task.gone", { task: TASK });
    expect(gone).to.include({ isListed: false });
    expect(gone!.startSentAgoMs).to.be.greaterThan(0);
    expect(gone).to.not.have.property("startAnsweredAgoMs");
    expect(find("task.started_late", { run: gone!.run })).to.deep.equal([{
      event: "task.started_late",
      task: TASK,
      run: gone!.run,
      worker: "a",
      address: "a:1",
      epoch: 1,
      incarnationStartUnixMs: 1,
    }]);
  });

  // Guards against a run that ran on after it was taken as over, without a line that says so.
  it("shows a run that a worker reports after it was taken as over", async () => {
    const { simulation, find, worker } = await createRunningCell(["a", "b"]);
    // The worker only seems to have left its address.
    worker.isReplaced = true;
    await simulation.clock.advance(1_100);
    worker.isReplaced = false;
    await simulation.clock.advance(1_000);
    const [gone] = find("task.gone", { task: TASK });
    const { run } = gone!;
    expect(find("task.stray", { task: TASK, run })[0]).to.include({
      worker: gone!.worker,
      address: gone!.address,
      epoch: 1,
      incarnationStartUnixMs: 1,
      reason: "a run of this epoch that was taken as over",
    });
    const [ended] = find("task.ended", { task: TASK, run });
    expect(ended).to.include({ end: "stopped", isFollowed: false });
  });

  // Guards against an adopted run of which the log doesn't show who reported it.
  it("names the incarnation that reports an adopted run", async () => {
    const { find, reported } = await createPartlyReportedCell();
    expect(find("task.adopted")[0]).to.include({
      run: 1_000_001,
      worker: reported.record.worker,
      address: reported.record.address,
      epoch: 2,
      incarnationStartUnixMs: 1,
    });
  });

  // Guards against a new holder that overlooks a run which a worker listed, without a trace of it.
  it("names how many runs a worker lists in its first report", async () => {
    const { find, reported } = await createPartlyReportedCell();
    const lines = find("worker.first_report", { epoch: 2 });
    expect(lines).to.have.length(3);
    const line = lines.find(({ worker }) => worker === reported.record.worker);
    expect(line).to.include({
      address: reported.record.address,
      incarnationStartUnixMs: 1,
      running: 1,
      ended: 0,
    });
  });
});
