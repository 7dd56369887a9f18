import { ManualClock, type OrganisationName } from "@coltsfootpond/common";
import { type CellJobId, JOB_STATE } from "@coltsfootpond/policy";
import type { StateStore, TransactOutcome } from "@coltsfootpond/ports";
import { expect } from "chai";
import { STORE_TIMEOUT_MS } from "../constants.ts";
import { JobRepository } from "./job_repository.ts";
import { encodeRow, jobKey, type JobRow } from "../rows.ts";
import {
  createFollower,
  createQueue,
  createQueueCall,
  createSpec,
  createStoreFake,
  type StoreFake,
} from "../test_fixtures.ts";

const JOB = "00000000000000dd" as CellJobId;
const OWNER = { organisation: "owner" as OrganisationName };
const REQUESTER = createQueueCall("owner");
const SPEC = createSpec(JOB, OWNER);

type Transact = StateStore["transact"];

/** Creates a repository over a fake store; `wrap` may replace the store's transactions. */
function createRepository(
  clock: ManualClock,
  wrap: (transact: Transact) => Transact = (transact) => transact,
  storeDownMs = 0,
): { readonly jobRepository: JobRepository; readonly store: StoreFake } {
  const store = createStoreFake();
  const wrapped = { ...store, transact: wrap(store.transact) };
  const follower = createFollower(wrapped, clock);
  const jobRepository = JobRepository.create({
    store: wrapped,
    follower,
    clock,
    getStoreDownMs: () => storeDownMs,
    nowUnixMs: () => 0,
  });
  return { jobRepository, store };
}

async function advanceAndAwait<Result>(
  clock: ManualClock,
  promise: Promise<Result>,
): Promise<Result> {
  await clock.advance(5_000);
  return await promise;
}

const LOST: TransactOutcome = {
  kind: "unavailable",
  effect: "lost",
  reason: "test",
};

describe("job repository", () => {
  it("accepts a job whose write took effect although its answer was lost", async () => {
    const clock = ManualClock.create();
    let isFirst = true;
    const { jobRepository, store } = createRepository(
      clock,
      (transact) => async (...call) => {
        const outcome = await transact(...call);
        if (!isFirst) return outcome;
        isFirst = false;
        return LOST;
      },
    );
    const outcome = await advanceAndAwait(
      clock,
      jobRepository.submit(SPEC, 1_000),
    );
    expect(outcome.kind).to.equal("accepted");
    expect(store.keys()).to.have.length(1);
  });

  it("does not return refused while an unanswered write may still take effect", async () => {
    const clock = ManualClock.create();
    let tries = 0;
    const { jobRepository } = createRepository(clock, () => () => {
      tries++;
      return Promise.resolve(
        tries === 1 ? LOST : { ...LOST, effect: "refused" },
      );
    });
    const outcome = await advanceAndAwait(
      clock,
      jobRepository.submit(SPEC, 1_000),
    );
    expect(outcome.kind).to.equal("unknown");
  });

  // Guards against a job that can't be stored and that is tried again until its caller's time-out.
  it("submits and cancels nothing twice that the store rejects", async () => {
    const clock = ManualClock.create();
    let tries = 0;
    const { jobRepository } = createRepository(clock, () => () => {
      tries++;
      return Promise.resolve({ kind: "rejected", reason: "status 413" });
    });
    const submitted = jobRepository.submit(SPEC, 1_000);
    expect((await advanceAndAwait(clock, submitted)).kind).to.equal("rejected");
    const cancelled = jobRepository.cancel(
      JOB,
      REQUESTER,
      clock.nowMs() + 1_000,
    );
    expect((await advanceAndAwait(clock, cancelled)).kind).to.equal("refused");
    expect(tries).to.equal(2);
  });

  it("does not call a submission rejected after an unanswered write", async () => {
    const clock = ManualClock.create();
    let tries = 0;
    const { jobRepository } = createRepository(clock, () => () => {
      tries++;
      return Promise.resolve(
        tries === 1 ? LOST : { kind: "rejected", reason: "status 413" },
      );
    });
    const submitted = jobRepository.submit(SPEC, 1_000);
    expect((await advanceAndAwait(clock, submitted)).kind).to.equal("unknown");
    expect(tries).to.equal(2);
  });

  it("refuses at once, and sends nothing, while the store is down", async () => {
    const clock = ManualClock.create();
    const { jobRepository, store } = createRepository(clock, undefined, 1_000);
    expect(await jobRepository.submit(SPEC, 1_000)).to.deep.equal({
      kind: "refused",
    });
    expect(store.keys()).to.have.length(0);
  });

  it("does not run a job that was cancelled before it was submitted", async () => {
    const clock = ManualClock.create();
    const { jobRepository } = createRepository(clock);
    expect(await jobRepository.cancel(JOB, REQUESTER, 1_000)).to.deep.equal({
      kind: "absent",
      reason: "no row",
    });
    expect(await jobRepository.submit(SPEC, 1_000)).to.deep.equal({
      kind: "accepted",
    });
    expect((await jobRepository.getState(JOB, REQUESTER, 1_000)).kind).to.equal(
      "absent",
    );
    expect(jobRepository.countWaiting(createQueue())).to.equal(0);
  });

  it("shows a job to its organisation only", async () => {
    const clock = ManualClock.create();
    const { jobRepository } = createRepository(clock);
    await jobRepository.submit(SPEC, 1_000);
    const other = createQueueCall("other");
    expect((await jobRepository.getState(JOB, other, 1_000)).kind).to.equal(
      "absent",
    );
    expect((await jobRepository.cancel(JOB, other, 1_000)).kind).to.equal(
      "absent",
    );
    expect(await jobRepository.getState(JOB, REQUESTER, 1_000)).to.deep.equal({
      kind: "state",
      state: "queued",
    });
  });

  it("shows an end that its copy of the table has not received", async () => {
    const clock = ManualClock.create();
    const { jobRepository, store } = createRepository(clock);
    await jobRepository.submit(SPEC, 1_000);
    await storeEnd(store);
    expect(await jobRepository.getState(JOB, REQUESTER, 1_000)).to.deep.equal({
      kind: "state",
      state: "completed",
    });
  });

  it("shows why a job has failed", async () => {
    const { jobRepository, store } = createRepository(ManualClock.create());
    await jobRepository.submit(SPEC, 1_000);
    await storeEnd(store, { state: "failed", reason: "crashes" });
    expect(await jobRepository.getState(JOB, REQUESTER, 1_000)).to.deep.equal({
      kind: "state",
      state: "failed",
      failureReason: "crashes",
    });
  });

  it("answers from its copy while the store is down, and between frequent polls of a live job", async () => {
    const clock = ManualClock.create();
    const downStore = createRepository(clock, undefined, 100);
    await downStore.jobRepository.submit(SPEC, 1_000);
    await storeEnd(downStore.store);
    const getState = ({ jobRepository }: typeof downStore) =>
      jobRepository.getState(JOB, REQUESTER, 1_000);
    expect(await getState(downStore)).to.include({ state: "queued" });

    const upStore = createRepository(clock);
    await upStore.jobRepository.submit(SPEC, 1_000);
    expect(await getState(upStore)).to.include({ state: "queued" });
    await storeEnd(upStore.store);
    expect(await getState(upStore)).to.include({ state: "queued" });
    await clock.advance(100);
    expect(await getState(upStore)).to.include({ state: "completed" });
  });

  it("answers from its copy while a read is slow, without shortening the store's time-out", async () => {
    const clock = ManualClock.create();
    const fake = createStoreFake();
    const timeoutsMs: number[] = [];
    const slowStore: StoreFake = {
      ...fake,
      read: async (table, range, timeoutMs) => {
        timeoutsMs.push(timeoutMs);
        await clock.sleep(600);
        return await fake.read(table, range, timeoutMs);
      },
    };
    const jobRepository = JobRepository.create({
      store: slowStore,
      follower: createFollower(slowStore, clock),
      clock,
      getStoreDownMs: () => 0,
      nowUnixMs: () => 0,
    });
    await jobRepository.submit(SPEC, 1_000);
    await storeEnd(fake);
    const askedMs = clock.nowMs();
    let answeredMs = Infinity;
    const first = jobRepository.getState(JOB, REQUESTER, askedMs + 3_000);
    void first.then(() => (answeredMs = clock.nowMs()));
    await clock.advance(1_000);
    expect(await first).to.include({ state: "queued" });
    expect(answeredMs - askedMs).to.be.at.most(300);
    // A shorter one would make the store look unreachable to all other calls.
    expect(timeoutsMs).to.deep.equal([STORE_TIMEOUT_MS]);
    // The answer that came too late for the first request has reached the copy.
    const second = await jobRepository.getState(JOB, REQUESTER, 9_000);
    expect(second).to.include({ state: "completed" });
    expect(timeoutsMs).to.have.length(1);
  });
});

/** Stores the end of the job as the lease holder does, without telling the repository. */
async function storeEnd(
  store: StoreFake,
  end: Pick<Extract<JobRow, { kind: "ended" }>, "state" | "reason"> = {
    state: JOB_STATE.COMPLETED,
  },
): Promise<void> {
  const key = jobKey(JOB);
  await store.transact({
    conditions: [],
    puts: [{
      key,
      value: encodeRow({
        kind: "ended",
        ...end,
        queue: SPEC.queue,
        organisation: SPEC.organisation,
        endedUnixMs: 0,
      }),
    }],
    deletes: [],
  }, 1_000);
}
