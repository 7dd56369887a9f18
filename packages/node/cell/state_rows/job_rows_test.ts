/** Tests of what happens to jobs whose rows cannot be decoded, and to the others beside them. */
import { ManualClock, type OrganisationName } from "@coltsfootpond/common";
import type { CellJobId } from "@coltsfootpond/policy";
import { expect } from "chai";
import { pack } from "msgpackr";
import { JobRepository } from "../callers/job_repository.ts";
import { EndedJobCollector } from "../ended_job_collector.ts";
import { collectUnhandledErrors } from "../fakes/unhandled_errors.ts";
import { SILENT_LOG } from "../log.ts";
import { findAccountOfEnded } from "../quotas/run_account.ts";
import { encodeRow, jobKey, parseJobKey, refusalKey } from "../rows.ts";
import {
  createFollower,
  createQueue,
  createQueueCall,
  createSpec,
  createStoreFake,
  type StoreFake,
} from "../test_fixtures.ts";

const BAD = "00000000000000bb" as CellJobId;
const GOOD = "00000000000000cc" as CellJobId;
const OWNER = { organisation: "owner" as OrganisationName };
const REQUESTER = createQueueCall("owner");
const NOT_MSGPACK = new Uint8Array([0xc1, 1, 2]);
const LATER_STATE = pack({ kind: "suspended", sinceUnixMs: 0 });
const OTHER_SHAPE = pack([1, 2]);
const BAD_VALUES = [
  NOT_MSGPACK,
  LATER_STATE,
  OTHER_SHAPE,
  pack(null),
  encodeRow({ kind: "live", spec: createSpec(GOOD) }).subarray(0, 40),
];

async function put(
  store: StoreFake,
  ...rows: readonly (readonly [key: string, value: Uint8Array])[]
): Promise<void> {
  const puts = rows.map(([key, value]) => ({ key, value }));
  await store.transact({ conditions: [], puts, deletes: [] }, 1);
}

function createRepository() {
  const clock = ManualClock.create();
  const store = createStoreFake();
  const follower = createFollower(store, clock);
  const jobRepository = JobRepository.create({
    store,
    follower,
    clock,
    getStoreDownMs: () => 0,
    nowUnixMs: () => 0,
  });
  return { clock, store, follower, jobRepository };
}

describe("rows of jobs that cannot be decoded", () => {
  // Guards against a row whose error in a subscriber ends the process, or hides the rows after it.
  it("do not keep an entry from reading the others", async () => {
    for (const value of BAD_VALUES) {
      const { store, follower, jobRepository } = createRepository();
      const spec = createSpec(GOOD, OWNER);
      await put(
        store,
        [jobKey(BAD), value],
        [jobKey(GOOD), encodeRow({ kind: "live", spec })],
      );
      const errors = await collectUnhandledErrors(async () => {
        await follower.reload(0);
      });
      expect(errors).to.deep.equal([]);
      expect(jobRepository.countWaiting(createQueue())).to.equal(1);
    }
  });

  // Guards against 410 for a job that was accepted, and against a state that no job has.
  it("show callers no state and keep their jobs known", async () => {
    for (const value of BAD_VALUES) {
      const { clock, store, jobRepository } = createRepository();
      await put(store, [jobKey(BAD), value]);
      // At first the row is not in the copy, and then it is.
      for (let time = 0; time < 2; time++) {
        expect(await jobRepository.getState(BAD, REQUESTER, 1_000)).to.deep
          .equal({ kind: "unreadable" });
      }
      const spec = createSpec(BAD, OWNER);
      const outcomes = [
        await jobRepository.cancel(BAD, REQUESTER, 1_000),
        await jobRepository.submit(spec, 1_000),
        await jobRepository.refuse(BAD, 1_000),
      ];
      expect(outcomes).to.deep.equal([
        { kind: "unreadable" },
        { kind: "unknown" },
        { kind: "unknown" },
      ]);
      const fresh = JobRepository.create({
        store,
        follower: createFollower(store, clock),
        clock,
        getStoreDownMs: () => 0,
        nowUnixMs: () => 0,
      });
      expect(await fresh.submit(spec, 1_000)).to.deep.equal({
        kind: "unknown",
      });
      expect(await fresh.cancel(BAD, REQUESTER, 1_000)).to.deep.equal({
        kind: "unreadable",
      });
      expect(store.rows().get(jobKey(BAD))?.value).to.equal(value);
    }
  });

  it("are no rows of another job or of another key", () => {
    expect(parseJobKey(jobKey(BAD))).to.equal(BAD);
    for (
      const key of [
        refusalKey(BAD),
        `jobs-a/${BAD}`,
        `${jobKey(BAD)}\n`,
        "jobs-0/0",
        "jobs-0/",
        "jobs-0/a.b.c",
        "JOBS-0/00000000000000bb",
      ]
    ) expect(parseJobKey(key), key).to.equal(undefined);
  });

  it("leave it open whose stray runs they are", async () => {
    const { store, follower } = createRepository();
    await put(store, [jobKey(BAD), LATER_STATE]);
    await follower.reload(0);
    expect(findAccountOfEnded(`${BAD}.0.0.0` as never, follower)).to.deep.equal(
      { kind: "unknown" },
    );
  });

  // Guards against rows of ended jobs that are kept for ever, as the search throws before them.
  it("stay while the rows of ended jobs are deleted", async () => {
    const { store, follower } = createRepository();
    const ended = {
      kind: "ended",
      state: "completed",
      queue: createSpec(GOOD).queue,
      organisation: undefined,
      endedUnixMs: 0,
    } as const;
    await put(
      store,
      [jobKey(BAD), NOT_MSGPACK],
      [`${jobKey(BAD)}x`, NOT_MSGPACK],
      [refusalKey(BAD), OTHER_SHAPE],
      [jobKey(GOOD), encodeRow(ended)],
      [refusalKey(GOOD), encodeRow({ kind: "refused", endedUnixMs: 0 })],
    );
    await follower.reload(0);
    const collector = EndedJobCollector.create({
      store,
      follower,
      nowUnixMs: () => 1e12,
      log: SILENT_LOG,
      retentionMs: 0,
    });
    await collector.collect();
    expect(store.keys()).to.deep.equal([
      jobKey(BAD),
      `${jobKey(BAD)}x`,
      refusalKey(BAD),
    ]);
  });
});
