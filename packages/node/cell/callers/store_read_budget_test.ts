import { ManualClock, type OrganisationName } from "@coltsfootpond/common";
import type { CellJobId } from "@coltsfootpond/policy";
import { expect } from "chai";
import { encodeRow, jobKey } from "../rows.ts";
import {
  createFollower,
  createQueueCall,
  createSpec,
  createStoreFake,
} from "../test_fixtures.ts";
import { JobRepository } from "./job_repository.ts";
import { StoreReadBudget } from "./store_read_budget.ts";

const OWNER = { organisation: "owner" as OrganisationName };
const REQUESTER = createQueueCall("owner");
const READS_PER_SECOND = 100;
const ENTRIES = 5;
const QUERIES = 1_000;

function createJobId(number: number): CellJobId {
  return number.toString(16).padStart(16, "0") as CellJobId;
}

function createRepository() {
  const clock = ManualClock.create();
  const store = createStoreFake();
  let reads = 0;
  const counting = {
    ...store,
    read: (...call: Parameters<typeof store.read>) => {
      reads++;
      return store.read(...call);
    },
  };
  const follower = createFollower(counting, clock);
  const jobRepository = JobRepository.create({
    store: counting,
    follower,
    clock,
    getStoreDownMs: () => 0,
    nowUnixMs: () => 0,
    readBudget: StoreReadBudget.create({
      clock,
      readsPerSecond: READS_PER_SECOND,
      countEntries: () => ENTRIES,
    }),
  });
  return { clock, follower, jobRepository, countReads: () => reads };
}

// Guards against a crowd that uses up the store's rate, which all entries share.
describe("state queries of a crowd", () => {
  it("read the store at half of the entry's part of its rate", async () => {
    const { clock, jobRepository, countReads } = createRepository();
    const answers = Array.from(
      { length: QUERIES },
      (_, number) =>
        jobRepository.getState(createJobId(number), REQUESTER, 3_000),
    );
    await clock.advance(3_100);
    const kinds = (await Promise.all(answers)).map(({ kind }) => kind);
    // A burst of a second, and three seconds.
    expect(countReads()).to.be.within(10, 40);
    expect(kinds.filter((kind) => kind === "absent").length).to.equal(
      countReads(),
    );
    expect(kinds.filter((kind) => kind === "unknown").length).to.equal(
      QUERIES - countReads(),
    );
  });

  it("keep nobody from a job that the entry's copy gets meanwhile", async () => {
    const { clock, follower, jobRepository } = createRepository();
    for (let number = 0; number < QUERIES; number++) {
      void jobRepository.getState(createJobId(number), REQUESTER, 3_000);
    }
    const jobId = createJobId(QUERIES);
    const answer = jobRepository.getState(jobId, REQUESTER, 3_000);
    await clock.advance(200);
    const spec = createSpec(jobId, OWNER);
    const value = encodeRow({ kind: "live", spec });
    follower.apply([{ key: jobKey(jobId), version: 9, value }]);
    await clock.advance(100);
    expect(await answer).to.deep.equal({ kind: "state", state: "queued" });
  });
});
