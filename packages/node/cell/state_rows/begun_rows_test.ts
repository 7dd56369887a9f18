/** Tests of the rows that list the jobs that have begun. */
import { ManualClock } from "@coltsfootpond/common";
import type { CellJobId } from "@coltsfootpond/policy";
import type { StateTransaction, TransactOutcome } from "@coltsfootpond/ports";
import { expect } from "chai";
import { BegunJobsWriter } from "../begun_jobs_writer.ts";
import { JobRepository } from "../callers/job_repository.ts";
import { SILENT_LOG } from "../log.ts";
import { BEGUN_KEY, encodeRow, jobKey } from "../rows.ts";
import {
  createFollower,
  createQueue,
  createSpec,
  createStoreFake,
  type StoreFake,
} from "../test_fixtures.ts";

const ROW_LIMIT_BYTES = 2_000;

function createWriter(store: StoreFake) {
  const sent: StateTransaction[] = [];
  const limited = {
    ...store,
    transact: (
      transaction: StateTransaction,
      timeoutMs: number,
    ): Promise<TransactOutcome> => {
      sent.push(transaction);
      const [put] = transaction.puts;
      return put !== undefined && put.value.byteLength > ROW_LIMIT_BYTES
        ? Promise.resolve({ kind: "rejected", reason: "status 400" })
        : store.transact(transaction, timeoutMs);
    },
  };
  const follower = createFollower(limited, ManualClock.create());
  const writer = BegunJobsWriter.create({
    store: limited,
    follower,
    log: SILENT_LOG,
    rowLimitBytes: ROW_LIMIT_BYTES,
  });
  return { writer, follower, sent };
}

function createJobIds(count: number): readonly CellJobId[] {
  return Array.from(
    { length: count },
    (_, number) => number.toString(16).padStart(16, "0") as CellJobId,
  );
}

/** An entry's count of the jobs that have not begun, by the rows in the store. */
async function countWaiting(
  store: StoreFake,
  jobIds: readonly CellJobId[],
): Promise<number> {
  const clock = ManualClock.create();
  const follower = createFollower(store, clock);
  const jobRepository = JobRepository.create({
    store,
    follower,
    clock,
    getStoreDownMs: () => 0,
    nowUnixMs: () => 0,
  });
  const specs = jobIds.map((jobId) => createSpec(jobId));
  await store.transact({
    conditions: [],
    puts: specs.map((spec) => ({
      key: jobKey(spec.jobId),
      value: encodeRow({ kind: "live", spec }),
    })),
    deletes: [],
  }, 1);
  await follower.reload(0);
  return jobRepository.countWaiting(createQueue());
}

describe("the list of jobs that have begun", () => {
  // Guards against a list that the store rejects, so that all begun jobs count as waiting.
  it("is stored in several rows within the limit when it is long", async () => {
    const store = createStoreFake();
    const { writer, sent } = createWriter(store);
    const jobIds = createJobIds(400);
    await writer.write(jobIds);
    expect(await countWaiting(store, jobIds)).to.equal(0);
    for (const { value } of store.rows().values()) {
      expect(value?.byteLength).to.be.at.most(ROW_LIMIT_BYTES / 2);
    }
    const before = sent.length;
    await writer.write(jobIds.filter((_, position) => position !== 70));
    expect(sent.length - before).to.equal(1);
    expect(await countWaiting(store, jobIds)).to.equal(1);
    await writer.write([]);
    expect(await countWaiting(store, jobIds)).to.equal(jobIds.length);
  });

  it("is one row while it is short, and replaces the rows of earlier holders", async () => {
    const store = createStoreFake();
    const jobIds = createJobIds(400);
    await createWriter(store).writer.write(jobIds);
    const { writer, follower } = createWriter(store);
    await follower.reload(0);
    const [first] = jobIds;
    await writer.write([first!]);
    expect(await countWaiting(store, jobIds)).to.equal(399);
    expect(store.rows().get(BEGUN_KEY)?.value).to.deep.equal(
      encodeRow({ jobIds: [first!] }),
    );
  });
});
