/** Tests of jobs whose progress the store can't take, beside jobs whose progress it can. */
import { ManualClock, type WorkerName } from "@coltsfootpond/common";
import type { StateTransaction, TransactOutcome } from "@coltsfootpond/ports";
import { expect } from "chai";
import type { LiveJob } from "../live_job.ts";
import { SILENT_LOG } from "../log.ts";
import { ProgressWriter } from "../progress_writer.ts";
import { progressKey } from "../rows.ts";
import type { TaskRun } from "../task_run.ts";
import {
  createFollower,
  createJob,
  createStep,
  createStoreFake,
  NO_OTHER_RUNS,
} from "../test_fixtures.ts";
import type { WorkerSession } from "../worker_session.ts";

const ROW_LIMIT_BYTES = 40_000;
const MAXIMUM_TRANSACTION_BYTES = 1_000_000;
const TEXT_BYTES = 29_000;

/** A writer to a store with the platform's limits, and what it sends. */
function createWriter(
  isRejected: (transaction: StateTransaction) => boolean = () => false,
) {
  const clock = ManualClock.create();
  const store = createStoreFake();
  const sent: StateTransaction[] = [];
  const rejected: LiveJob[] = [];
  const state = { confirmed: 0 };
  const writer = ProgressWriter.create({
    store: {
      ...store,
      transact: (transaction, timeoutMs): Promise<TransactOutcome> => {
        sent.push(transaction);
        return isTooLarge(transaction) || isRejected(transaction)
          ? Promise.resolve({ kind: "rejected", reason: "status 400" })
          : store.transact(transaction, timeoutMs);
      },
    },
    follower: createFollower(store, clock),
    clock,
    nowUnixMs: () => 0,
    log: SILENT_LOG,
    canAct: () => true,
    rowLimitBytes: ROW_LIMIT_BYTES,
    findOtherRuns: () => NO_OTHER_RUNS,
    snapshotProcessedEnds: () => () => state.confirmed++,
    onClosed: () => {},
    onPlaced: () => {},
    onRejected: (job) => {
      rejected.push(job);
      job.listPending().forEach(([unit]) => unit.run = undefined);
    },
    onNewerHolder: () => {},
  });
  return { clock, store, sent, rejected, state, writer };
}

function isTooLarge({ puts }: StateTransaction): boolean {
  const sizes = puts.map(({ value }) => value.byteLength);
  const bytes = sizes.reduce((sum, size) => sum + size * 4 / 3, 0);
  return bytes > MAXIMUM_TRANSACTION_BYTES ||
    sizes.some((size) => size > ROW_LIMIT_BYTES);
}

/** A job of which `count` units have a placement that is not stored. */
function createPlacedJob(jobId: string, count: number): LiveJob {
  const job = createJob(jobId, { steps: [createStep({ count })] });
  job.openDueUnits(0, 0);
  for (const unit of job.units.values()) {
    unit.run = {
      run: 1,
      taskRuns: new Map(),
      incarnations: new Map([["w" as WorkerName, 1]]),
      startedMs: 0,
      isPending: true,
      isClosing: false,
    };
  }
  return job;
}

function formatJobId(number: number): string {
  return number.toString(16).padStart(16, "0");
}

function addCheckpoint(job: LiveJob, bytes: number): void {
  const unit = { occurrence: 0, step: 0, index: 0 };
  job.progress.recordCheckpoint(unit, "x".repeat(bytes));
}

describe("progress that the store can't take", () => {
  // Guards against one job whose row is over the limit and that keeps all jobs from starting.
  it("is not sent, and keeps no other job from being stored", async () => {
    const { clock, store, sent, rejected, state, writer } = createWriter();
    const large = createPlacedJob(formatJobId(1), 1);
    addCheckpoint(large, MAXIMUM_TRANSACTION_BYTES);
    const small = createJob(formatJobId(2));
    writer.mark(large, true);
    writer.mark(small, true);
    await clock.advance(2_000);
    expect(store.keys()).to.deep.equal([progressKey(small.jobId)]);
    expect(rejected).to.deep.equal([large]);
    expect(sent).to.have.length(1);
    // The ends that its progress includes are not stored.
    expect(state.confirmed).to.equal(0);
  });

  // Guards against ends of a job that are not stored as its new placements can't be.
  it("is stored without the placements that are too large", async () => {
    const { clock, store, rejected, state, writer } = createWriter();
    const job = createPlacedJob(formatJobId(1), 1);
    const [unit] = job.units.values();
    const worker = "w".repeat(MAXIMUM_TRANSACTION_BYTES) as WorkerName;
    unit!.run!.taskRuns.set({} as TaskRun, { worker } as WorkerSession);
    writer.mark(job, true);
    await clock.advance(2_000);
    expect(rejected).to.deep.equal([job]);
    expect(store.keys()).to.deep.equal([progressKey(job.jobId)]);
    expect(state.confirmed).to.be.greaterThan(0);
  });

  // Guards against one row that the store rejects for another reason than its size.
  it("is sent once, and again only after it has changed", async () => {
    const odd = createJob(formatJobId(0));
    const key = progressKey(odd.jobId);
    let isOdd = true;
    const { clock, store, sent, state, writer } = createWriter(
      ({ puts }) => isOdd && puts.some((put) => put.key === key),
    );
    const jobs = [odd, createJob(formatJobId(1)), createJob(formatJobId(2))];
    jobs.forEach((job) => writer.mark(job, true));
    await clock.advance(2_000);
    const others = jobs.slice(1).map(({ jobId }) => progressKey(jobId));
    expect([...store.keys()].sort()).to.deep.equal(others);
    const alone = () =>
      sent.filter(({ puts }) => puts.length === 1 && puts[0]?.key === key);
    expect(alone()).to.have.length(1);
    writer.mark(odd, true);
    await clock.advance(2_000);
    expect(alone()).to.have.length(1);
    expect(state.confirmed).to.equal(0);
    isOdd = false;
    addCheckpoint(odd, 1);
    writer.mark(odd, true);
    await clock.advance(2_000);
    expect(store.keys()).to.include(key);
    expect(state.confirmed).to.be.greaterThan(0);
  });

  // Guards against rows that the store takes one by one but not in one transaction.
  it("is no batch of rows of which each can be stored", async () => {
    const { clock, store, sent, writer } = createWriter();
    const jobs = Array.from(
      { length: 70 },
      (_, number) => createJob(formatJobId(number)),
    );
    for (const job of jobs) {
      addCheckpoint(job, TEXT_BYTES);
      writer.mark(job, true);
    }
    await clock.advance(2_000);
    expect(store.keys()).to.have.length(jobs.length);
    expect(sent.some(isTooLarge)).to.equal(false);
  });

  // Guards against a large job whose placements hold workers although they can't be stored.
  it("limits how many units of the job are placed at once", () => {
    const job = createPlacedJob(formatJobId(1), 9);
    expect(job.countStartable()).to.equal(Number.POSITIVE_INFINITY);
    job.halveMaximumRuns();
    expect(job.countStartable()).to.equal(0);
    job.listPending().forEach(([unit]) => unit.run = undefined);
    expect(job.countStartable()).to.equal(4);
  });
});
