import { ManualClock } from "@coltsfootpond/common";
import type { TaskName } from "@coltsfootpond/policy";
import { expect } from "chai";
import type { TaskRun } from "./task_run.ts";
import { WorkerTaskRuns } from "./worker_task_runs.ts";
import { WorkerLeases } from "./worker_leases.ts";

const TASK = "00000000000000aa.0.0.0" as TaskName;
const LEASE_MS = 6_000;

function createMember(overrides: Partial<TaskRun> = {}): TaskRun {
  return {
    task: TASK,
    run: 1,
    need: { cpuMilli: 0, memoryMib: 0, accelerators: 1 },
    stepKey: "",
    startedClockMs: undefined,
    isStopping: false,
    stoppedClockMs: undefined,
    checkpoint: "",
    percent: 0,
    percentChangedClockMs: 0,
    percentReportedClockMs: 0,
    ...overrides,
  };
}

function createBook() {
  const gone: string[] = [];
  const ended: number[] = [];
  const book = WorkerTaskRuns.create({
    onEnded: ({ sequence: number }) => ended.push(number),
    onGone: (_member, reason) => gone.push(reason),
    onStray: () => {},
  });
  const report = (workerClockMs: number) =>
    book.takeReport({
      kind: "report",
      metadata: { workerClockMs, incarnationStartUnixMs: 1 },
      running: [],
      ended: [],
    });
  return { book, gone, ended, report };
}

describe("members of a worker", () => {
  it("stay until a report after an answered start or stop does not list them", () => {
    const { book, gone, report } = createBook();
    const unanswered = createMember();
    const started = createMember({ run: 2, startedClockMs: 100 });
    book.add(unanswered);
    book.add(started);
    report(100);
    expect(book.size).to.equal(2);
    report(101);
    expect(book.members).to.deep.equal([unanswered]);
    unanswered.stoppedClockMs = 150;
    report(150);
    expect(book.size).to.equal(1);
    report(151);
    expect(gone).to.have.length(2);
  });

  it("are judged by the newest report, however reports overtake each other", () => {
    const { book, report } = createBook();
    report(200);
    book.add(createMember({ startedClockMs: 50 }));
    report(100);
    expect(book.size).to.equal(1);
  });

  it("take each listed end once", () => {
    const { book, ended } = createBook();
    const end = { task: TASK, run: 1, end: "done", checkpoint: "" } as const;
    for (const numbers of [[1, 2], [1, 2, 3]]) {
      book.takeReport({
        kind: "report",
        metadata: { workerClockMs: 1, incarnationStartUnixMs: 1 },
        running: [],
        ended: numbers.map((number) => ({ sequence: number, ...end })),
      });
    }
    expect(ended).to.deep.equal([1, 2, 3]);
  });

  it("keep no stop of an earlier life as a proof in a new one", () => {
    const { book, gone, report } = createBook();
    const unanswered = createMember({ stoppedClockMs: 90_000 });
    book.add(unanswered);
    book.add(createMember({ run: 2, startedClockMs: 5 }));
    book.beginLife();
    expect(gone).to.deep.equal(["the worker began a new life"]);
    expect(unanswered.stoppedClockMs).to.equal(undefined);
    unanswered.stoppedClockMs = 10;
    report(11);
    expect(book.size).to.equal(0);
  });
});

describe("leases of a worker", () => {
  it("last as long as the slowest clock allows", async () => {
    const clock = ManualClock.create();
    const leases = WorkerLeases.create({ clock, leaseMaximumMs: LEASE_MS });
    leases.takeClock({ workerClockMs: 0, incarnationStartUnixMs: 1 });
    await clock.advance(LEASE_MS + 100);
    expect(leases.isSurelyLapsed()).to.equal(false);
    await clock.advance(LEASE_MS * 0.03);
    expect(leases.isSurelyLapsed()).to.equal(true);
  });

  it("are unknown anew when the worker begins a new life", async () => {
    const clock = ManualClock.create();
    const leases = WorkerLeases.create({ clock, leaseMaximumMs: LEASE_MS });
    leases.takeLife(1);
    await clock.advance(60_000);
    expect(leases.takeLife(2)).to.equal("new_life");
    expect(leases.isKnown).to.equal(false);
    expect(leases.isSurelyLapsed()).to.equal(false);
    expect(leases.takeLife(1)).to.equal("old");
    await clock.advance(LEASE_MS * 1.1);
    expect(leases.isSurelyLapsed()).to.equal(true);
  });
});
