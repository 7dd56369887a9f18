import { ManualClock } from "@coltsfootpond/common";
import { expect } from "chai";
import type { LiveJob, Unit } from "../live_job.ts";
import { SILENT_LOG } from "../log.ts";
import {
  ProgressWriter,
  type ProgressWriterOptions,
} from "../progress_writer.ts";
import {
  createFollower,
  createJob,
  createStoreFake,
  NO_OTHER_RUNS,
} from "../test_fixtures.ts";

const BROKEN = "00000000000000aa";
const SOUND = "00000000000000bb";
const LATER = "00000000000000cc";

function fail(): never {
  throw new Error("broken job");
}

function createWriter(overrides: Partial<ProgressWriterOptions> = {}) {
  const clock = ManualClock.create();
  const store = createStoreFake();
  const placed: unknown[] = [];
  const closed: unknown[] = [];
  const writer: ProgressWriter = ProgressWriter.create({
    store,
    follower: createFollower(store, clock),
    clock,
    nowUnixMs: () => 0,
    log: SILENT_LOG,
    rowLimitBytes: 65_536,
    onRejected: () => {},
    canAct: () => true,
    findOtherRuns: () => NO_OTHER_RUNS,
    snapshotProcessedEnds: () => () => {},
    onClosed: (job: LiveJob) => {
      closed.push(job.jobId);
      writer.forget(job);
    },
    onPlaced: (unit: Unit) => placed.push(unit.job.jobId),
    onNewerHolder: () => {},
    ...overrides,
  });
  return { writer, clock, store, placed, closed };
}

/** A job with one unit whose placement is to be stored. */
function createPlacedJob(jobId: string): LiveJob {
  const job = createJob(jobId);
  job.openDueUnits(0, 0);
  const unit = [...job.units.values()][0]!;
  unit.run = {
    run: 1,
    taskRuns: new Map(),
    incarnations: new Map(),
    startedMs: 0,
    isPending: true,
    isClosing: false,
  };
  return job;
}

describe("the progress writer with a job that fails", () => {
  // Guards against one row that stops the writes of all, and with them the starts.
  it("stores the others while its row cannot be encoded, and acknowledges no end", async () => {
    let confirmed = 0;
    const { writer, clock, store, placed } = createWriter({
      snapshotProcessedEnds: () => () => confirmed++,
    });
    const broken = createPlacedJob(BROKEN);
    const { toRecord } = broken.progress;
    broken.progress.toRecord = fail;
    writer.mark(broken, true);
    writer.mark(createPlacedJob(SOUND), true);
    await clock.advance(2_000);
    expect(store.keys()).to.deep.equal([`progress/${SOUND}`]);
    expect(placed).to.deep.equal([SOUND]);
    expect(confirmed).to.equal(0);
    expect(broken.writeIds.size).to.equal(0);
    broken.progress.toRecord = toRecord;
    await clock.advance(1_000);
    expect(store.keys()).to.include(`progress/${BROKEN}`);
    expect(placed).to.deep.equal([SOUND, BROKEN]);
    expect(confirmed).to.be.greaterThan(0);
  });

  // Guards against a placement whose start fails and keeps the other starts of its transaction.
  it("passes on the placements of the others", async () => {
    const placed: unknown[] = [];
    const { writer, clock } = createWriter({
      onPlaced: ({ job }) =>
        String(job.jobId) === BROKEN ? fail() : placed.push(job.jobId),
    });
    writer.mark(createPlacedJob(BROKEN), true);
    writer.mark(createPlacedJob(SOUND), true);
    await clock.advance(1_000);
    expect(placed).to.deep.equal([SOUND]);
  });

  // Guards against a running flag that stays set, after which nothing is written any more.
  it("goes on after a store that throws", async () => {
    const fake = createStoreFake();
    let isBroken = true;
    const { writer, clock } = createWriter({
      store: {
        ...fake,
        transact: (...call) => isBroken ? fail() : fake.transact(...call),
      },
    });
    writer.mark(createJob(SOUND), true);
    await clock.advance(1_000);
    isBroken = false;
    await clock.advance(1_000);
    expect(fake.keys()).to.deep.equal([`progress/${SOUND}`]);
  });

  it("goes on after an error outside single jobs", async () => {
    let isBroken = true;
    const { writer, clock, store } = createWriter({
      snapshotProcessedEnds: () => isBroken ? fail() : () => {},
    });
    writer.mark(createJob(SOUND), true);
    await clock.advance(1_000);
    isBroken = false;
    await clock.advance(1_000);
    expect(store.keys()).to.deep.equal([`progress/${SOUND}`]);
  });

  // Guards against an end that cannot be stored, after which no other is.
  it("stores the ends of the others", async () => {
    const { writer, clock, store, closed } = createWriter();
    for (const jobId of [BROKEN, SOUND]) {
      const job = createJob(jobId);
      job.ending = "completed";
      if (jobId === BROKEN) {
        Object.defineProperty(job, "failure", { get: fail });
      }
      writer.mark(job, true);
    }
    await clock.advance(1_000);
    expect(closed).to.deep.equal([SOUND]);
    const later = createJob(LATER);
    later.ending = "completed";
    writer.mark(later, true);
    await clock.advance(1_000);
    expect(closed).to.deep.equal([SOUND, LATER]);
    expect(store.keys()).to.deep.equal([`jobs-0/${SOUND}`, `jobs-0/${LATER}`]);
  });
});
