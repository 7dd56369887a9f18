/** Tests that a refusal for lack of capacity is true: no try of the job runs although one was refused. */
import { ManualClock } from "@coltsfootpond/common";
import type { CellJobId } from "@coltsfootpond/policy";
import type { StateStore, TransactOutcome } from "@coltsfootpond/ports";
import { expect } from "chai";
import { EndedJobCollector } from "../ended_job_collector.ts";
import { SILENT_LOG } from "../log.ts";
import {
  decodeRow,
  encodeRow,
  JOB_GROUPS,
  jobKey,
  refusalKey,
} from "../rows.ts";
import {
  createFollower,
  createSpec,
  createStoreFake,
  type StoreFake,
} from "../test_fixtures.ts";
import { JobRepository } from "./job_repository.ts";

const JOB = "00000000000000dd" as CellJobId;
const SPEC = createSpec(JOB);
const DEADLINE_MS = 1_000;

type Transact = StateStore["transact"];

/** The repository of one entry; entries of one test share the store and have copies of their own. */
function createEntry(
  store: StoreFake,
  clock: ManualClock,
  wrap: (transact: Transact) => Transact = (transact) => transact,
): JobRepository {
  const wrapped = { ...store, transact: wrap(store.transact) };
  return JobRepository.create({
    store: wrapped,
    follower: createFollower(wrapped, clock),
    clock,
    getStoreDownMs: () => 0,
    nowUnixMs: () => 0,
  });
}

/** A store whose transactions are carried out when the test says so; the entry gets no answer. */
function createDelayedTransact() {
  const pending: (() => Promise<TransactOutcome>)[] = [];
  const wrap = (transact: Transact): Transact => (...call) => {
    pending.push(() => transact(...call));
    return Promise.resolve(
      { kind: "unavailable", effect: "lost", reason: "test" },
    );
  };
  return { pending, wrap };
}

async function settle<Result>(clock: ManualClock, promise: Promise<Result>) {
  await clock.advance(5_000);
  return await promise;
}

describe("a refusal for lack of capacity", () => {
  // Guards against a job that runs although it was answered with 429.
  it("bars the write of an earlier try at another entry that arrives later", async () => {
    const clock = ManualClock.create();
    const store = createStoreFake();
    const { pending, wrap } = createDelayedTransact();
    const first = createEntry(store, clock, wrap);
    const submitted = await settle(clock, first.submit(SPEC, DEADLINE_MS));
    expect(submitted.kind).to.equal("unknown");
    const second = createEntry(store, clock);
    const refused = await second.refuse(JOB, clock.nowMs() + DEADLINE_MS);
    expect(refused.kind).to.equal("refused");
    expect(pending.length).to.be.greaterThan(0);
    for (const write of pending) await write();
    expect(store.keys()).to.not.include(jobKey(JOB));
  });

  // Guards against a second refusal that leaves the first one's row, on which a try between both
  // was conditional.
  it("bars also a try that was submitted after an earlier refusal", async () => {
    const clock = ManualClock.create();
    const store = createStoreFake();
    await createEntry(store, clock).refuse(JOB, DEADLINE_MS);
    const { pending, wrap } = createDelayedTransact();
    const follower = createFollower(store, clock);
    await follower.reload(0);
    const between = JobRepository.create({
      store: { ...store, transact: wrap(store.transact) },
      follower,
      clock,
      getStoreDownMs: () => 0,
      nowUnixMs: () => 0,
    });
    await settle(clock, between.submit(SPEC, DEADLINE_MS));
    const later = createEntry(store, clock);
    const refused = await later.refuse(JOB, clock.nowMs() + DEADLINE_MS);
    expect(refused.kind).to.equal("refused");
    for (const write of pending) await write();
    expect(store.keys()).to.not.include(jobKey(JOB));
  });

  // Guards against a 429 for a repeated submission of a stored job.
  it("is not made when another entry has stored the job, though the copy lags", async () => {
    const clock = ManualClock.create();
    const store = createStoreFake();
    await createEntry(store, clock).submit(SPEC, DEADLINE_MS);
    const outcome = await createEntry(store, clock).refuse(JOB, DEADLINE_MS);
    expect(outcome.kind).to.equal("accepted");
    expect(store.keys()).to.deep.equal([jobKey(JOB)]);
  });

  // Guards against a refusal whose row may not be stored, so that an earlier try may yet be.
  it("is not made while the answer of its write is lost", async () => {
    const clock = ManualClock.create();
    const { wrap } = createDelayedTransact();
    const entry = createEntry(createStoreFake(), clock, wrap);
    const outcome = await settle(clock, entry.refuse(JOB, DEADLINE_MS));
    expect(outcome.kind).to.equal("unknown");
  });

  it("is not made while the store certainly refuses writes", async () => {
    const clock = ManualClock.create();
    const entry = createEntry(
      createStoreFake(),
      clock,
      () => () =>
        Promise.resolve(
          { kind: "unavailable", effect: "refused", reason: "test" },
        ),
    );
    const outcome = await entry.refuse(JOB, DEADLINE_MS);
    expect(outcome.kind).to.equal("unavailable");
  });

  // Guards against a 200 for a job that never runs, as an earlier try of it was refused.
  it("does not keep a caller that returns from being accepted", async () => {
    const clock = ManualClock.create();
    const store = createStoreFake();
    const entry = createEntry(store, clock);
    await entry.refuse(JOB, DEADLINE_MS);
    expect(await entry.submit(SPEC, DEADLINE_MS)).to.deep.equal({
      kind: "accepted",
    });
    const row = store.rows().get(jobKey(JOB));
    expect(decodeRow(row!.value!)).to.include({ kind: "live" });
  });

  // Guards against a try that was overtaken by its caller's refused later try, and runs.
  it("bars a try whose entry did not know of it when the try began", async () => {
    const clock = ManualClock.create();
    const store = createStoreFake();
    await createEntry(store, clock).refuse(JOB, DEADLINE_MS);
    const entry = createEntry(store, clock);
    expect(await entry.submit(SPEC, DEADLINE_MS)).to.deep.equal({
      kind: "barred",
    });
    expect(store.keys()).to.deep.equal([refusalKey(JOB)]);
    // The answer of the store has made it known, so the next try is a new one.
    expect(await entry.submit(SPEC, DEADLINE_MS)).to.deep.equal({
      kind: "accepted",
    });
  });

  // Guards against a table that grows with each refusal.
  it("is deleted with the rows of jobs that ended long ago", async () => {
    const clock = ManualClock.create();
    const store = createStoreFake();
    await createEntry(store, clock).refuse(JOB, DEADLINE_MS);
    const follower = createFollower(store, clock);
    await follower.reload(0);
    let nowUnixMs = 0;
    const collector = EndedJobCollector.create({
      store,
      follower,
      nowUnixMs: () => nowUnixMs,
      log: SILENT_LOG,
      retentionMs: 1_000,
    });
    for (const _ of JOB_GROUPS) await collector.collect();
    expect(store.keys()).to.deep.equal([refusalKey(JOB)]);
    nowUnixMs = 100_000;
    for (const _ of JOB_GROUPS) await collector.collect();
    expect(store.keys()).to.deep.equal([]);
  });

  it("is known to precede a try if the entry has seen a newer version of the store", async () => {
    const clock = ManualClock.create();
    const store = createStoreFake();
    await createEntry(store, clock).refuse(JOB, DEADLINE_MS);
    const follower = createFollower(store, clock);
    follower.apply([{
      key: "other",
      version: 9,
      value: encodeRow({ jobIds: [] }),
    }]);
    const entry = JobRepository.create({
      store,
      follower,
      clock,
      getStoreDownMs: () => 0,
      nowUnixMs: () => 0,
    });
    expect(await entry.submit(SPEC, DEADLINE_MS)).to.deep.equal({
      kind: "accepted",
    });
  });
});
