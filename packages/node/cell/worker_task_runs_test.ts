import { ManualClock } from "@coltsfootpond/common";
import type { TaskName } from "@coltsfootpond/policy";
import { expect } from "chai";
import type { TaskRun } from "./task_run.ts";
import { WorkerTaskRuns } from "./worker_task_runs.ts";
import { WorkerLeases } from "./worker_leases.ts";

const TASK = "00000000000000aa.0.0.0" as TaskName;
const LEASE_MS = 6_000;

function createTaskRun(overrides: Partial<TaskRun> = {}): TaskRun {
  return {
    task: TASK,
    run: 1,
    need: { cpuMilli: 0, memoryMib: 0, accelerators: 1 },
    account: { kind: "unknown" },
    stepKey: "",
    startSentMs: undefined,
    startAnsweredMs: undefined,
    isListed: false,
    isStopping: false,
    stopAnsweredMs: undefined,
    checkpoint: "",
    percent: 0,
    percentChangedClockMs: 0,
    percentReportedClockMs: 0,
    firstReportedClockMs: undefined,
    lostContact: undefined,
    ...overrides,
  };
}

function createTaskRuns() {
  const goneReasons: string[] = [];
  const ended: number[] = [];
  const taskRuns = WorkerTaskRuns.create({
    clock: ManualClock.create(),
    onEnded: ({ sequence }) => ended.push(sequence),
    onGone: (_taskRun, { reason }) => goneReasons.push(reason),
    onStarted: () => {},
    onStray: () => {},
  });
  /** A report without runs; its clock and the time of its request differ by a fixed amount. */
  const report = (requestedMs: number, workerClockMs = requestedMs + 5_000) =>
    taskRuns.applyReport({
      kind: "report",
      metadata: { workerClockMs, incarnationStartUnixMs: 1 },
      running: [],
      ended: [],
    }, requestedMs);
  return { taskRuns, goneReasons, ended, report };
}

describe("task runs of a worker", () => {
  it("stay until a report after an answered start or stop does not list them", () => {
    const { taskRuns, goneReasons, report } = createTaskRuns();
    const unanswered = createTaskRun();
    const started = createTaskRun({ run: 2, startAnsweredMs: 100 });
    taskRuns.add(unanswered);
    taskRuns.add(started);
    report(100);
    expect(taskRuns.size).to.equal(2);
    report(101);
    expect(taskRuns.all).to.deep.equal([unanswered]);
    unanswered.stopAnsweredMs = 150;
    report(150);
    expect(taskRuns.size).to.equal(1);
    report(151);
    expect(goneReasons).to.have.length(2);
  });

  it("are compared with the newest report, even if reports arrive out of order", () => {
    const { taskRuns, report } = createTaskRuns();
    report(200);
    taskRuns.add(createTaskRun({ startAnsweredMs: 50 }));
    report(201, 100);
    expect(taskRuns.size).to.equal(1);
  });

  it("apply each listed end once", () => {
    const { taskRuns, ended } = createTaskRuns();
    const end = { task: TASK, run: 1, end: "done", checkpoint: "" } as const;
    for (const sequences of [[1, 2], [1, 2, 3]]) {
      taskRuns.applyReport({
        kind: "report",
        metadata: { workerClockMs: 1, incarnationStartUnixMs: 1 },
        running: [],
        ended: sequences.map((sequence) => ({ sequence, ...end })),
      }, 1);
    }
    expect(ended).to.deep.equal([1, 2, 3]);
  });

  // Guards against skipping, and then acknowledging, an end that is listed after a later one.
  it("apply the ends of a report in the order of their numbers", () => {
    const { taskRuns, ended } = createTaskRuns();
    const end = { task: TASK, run: 1, end: "done", checkpoint: "" } as const;
    taskRuns.applyReport({
      kind: "report",
      metadata: { workerClockMs: 1, incarnationStartUnixMs: 1 },
      running: [],
      ended: [7, 5, 6].map((sequence) => ({ sequence, ...end })),
    }, 1);
    expect(ended).to.deep.equal([5, 6, 7]);
  });

  it("do not count a stop of an earlier incarnation as proof in a new one", () => {
    const { taskRuns, goneReasons, report } = createTaskRuns();
    const unanswered = createTaskRun({ stopAnsweredMs: 9 });
    taskRuns.add(unanswered);
    taskRuns.add(createTaskRun({ run: 2, startAnsweredMs: 5, isListed: true }));
    taskRuns.beginIncarnation();
    expect(goneReasons).to.deep.equal(["the worker began a new life"]);
    expect(unanswered.stopAnsweredMs).to.equal(undefined);
    report(10);
    expect(taskRuns.size).to.equal(1);
    unanswered.stopAnsweredMs = 10;
    report(11);
    expect(taskRuns.size).to.equal(0);
  });

  it("whose start was answered stay in a new incarnation until it does not list them", () => {
    const { taskRuns, goneReasons, report } = createTaskRuns();
    taskRuns.add(createTaskRun({ startAnsweredMs: 100 }));
    taskRuns.beginIncarnation();
    report(100, 7);
    expect(taskRuns.size).to.equal(1);
    report(101, 8);
    expect(goneReasons).to.deep.equal(["not listed by the worker"]);
  });
});

describe("leases of a worker", () => {
  it("last as long as the slowest clock allows", async () => {
    const clock = ManualClock.create();
    const leases = WorkerLeases.create({ clock, leaseMaximumMs: LEASE_MS });
    leases.applyClock(
      { workerClockMs: 0, incarnationStartUnixMs: 1 },
      clock.nowMs(),
    );
    await clock.advance(LEASE_MS + 100);
    expect(leases.haveLeasesExpired()).to.equal(false);
    await clock.advance(LEASE_MS * 0.03);
    expect(leases.haveLeasesExpired()).to.equal(true);
  });

  // Guards against judging a start's lease by the clock of an incarnation that may be over.
  it("last up to the maximum after a start, whose deadline another incarnation may read", async () => {
    const clock = ManualClock.create();
    const leases = WorkerLeases.create({ clock, leaseMaximumMs: LEASE_MS });
    leases.applyClock(
      { workerClockMs: 0, incarnationStartUnixMs: 1 },
      clock.nowMs(),
    );
    await clock.advance(60_000);
    expect(leases.haveLeasesExpired()).to.equal(true);
    expect(leases.grantForStart(2_500)).to.equal(62_500);
    await clock.advance(LEASE_MS);
    expect(leases.haveLeasesExpired()).to.equal(false);
    await clock.advance(LEASE_MS);
    expect(leases.haveLeasesExpired()).to.equal(true);
  });

  // Guards against ignoring a lease that is granted before the first report of an incarnation.
  it("last from a grant to an incarnation whose clock is unknown", async () => {
    const clock = ManualClock.create();
    const leases = WorkerLeases.create({ clock, leaseMaximumMs: LEASE_MS });
    leases.applyClock(
      { workerClockMs: 100_000, incarnationStartUnixMs: 1 },
      clock.nowMs(),
    );
    leases.forgetClock();
    await clock.advance(2_000);
    leases.grantForStart(2_500);
    await clock.advance(LEASE_MS);
    expect(leases.haveLeasesExpired()).to.equal(false);
    await clock.advance(LEASE_MS);
    expect(leases.haveLeasesExpired()).to.equal(true);
  });

  it("are unknown again when the worker begins a new incarnation", async () => {
    const clock = ManualClock.create();
    const leases = WorkerLeases.create({ clock, leaseMaximumMs: LEASE_MS });
    leases.applyClock(
      { workerClockMs: 0, incarnationStartUnixMs: 1 },
      clock.nowMs(),
    );
    await clock.advance(60_000);
    expect(leases.haveLeasesExpired()).to.equal(true);
    leases.forgetClock();
    expect(leases.isClockKnown).to.equal(false);
    expect(leases.haveLeasesExpired()).to.equal(false);
    await clock.advance(LEASE_MS * 1.1);
    expect(leases.haveLeasesExpired()).to.equal(true);
  });
});
