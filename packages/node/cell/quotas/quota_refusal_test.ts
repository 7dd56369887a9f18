/** Tests of the refusal of jobs of which a unit is wider than the quota. */
import {
  ManualClock,
  type OrganisationName,
  type ServiceName,
} from "@coltsfootpond/common";
import type { CellJobId, QueueName } from "@coltsfootpond/policy";
import type { CallerCodec, DeclaredState } from "@coltsfootpond/ports";
import { expect } from "chai";
import { createCallerFilters } from "../callers/caller_filters.ts";
import { JobRepository } from "../callers/job_repository.ts";
import { refusalKey } from "../rows.ts";
import {
  createFollower,
  createSpec,
  createStep,
  createStoreFake,
} from "../test_fixtures.ts";
import { QuotaHistory } from "./quota_history.ts";

const A = "a" as OrganisationName;
const JOB = "00000000000000aa";
const OTHER_JOB = "00000000000000bb";
const STEPS = [createStep({ count: 4, isGang: true })];

function createState(version: number, accelerators: number): DeclaredState {
  const quota = { cpuMilli: 0, memoryMib: 0, accelerators };
  return {
    version,
    queues: [{
      queue: "queue" as QueueName,
      service: "service" as ServiceName,
      host: "",
      pathPrefix: "/",
      isPublic: false,
      requiresTicket: false,
      priority: 1,
      maximumAttempts: 3,
      stretch: 2,
      allowanceMs: 1_000,
      timeoutMs: 3_000,
    }],
    organisationByApiKey: new Map([["key", A]]),
    guarantees: [],
    shares: [{ organisation: A, weight: undefined, quota }],
    services: new Set(),
    capacityEnforcingServices: new Set(),
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerTimeoutMs: 1,
      keepAliveMs: 1,
    },
  };
}

/** An entry that has known a quota of 4 accelerators for long. */
function createEntry() {
  const clock = ManualClock.create();
  const store = createStoreFake();
  const history = QuotaHistory.create(clock);
  let state = createState(1, 4);
  const declare = (accelerators: number) => {
    state = createState(state.version + 1, accelerators);
    history.record(state);
  };
  history.record(state);
  const filters = createCallerFilters({
    codec: {
      decodeJob: () => ({ kind: "job", job: createSpec("", { steps: STEPS }) }),
    } as unknown as CallerCodec,
    jobRepository: JobRepository.create({
      store,
      follower: createFollower(store, clock),
      clock,
      getStoreDownMs: () => 0,
      nowUnixMs: () => 0,
    }),
    admission: { check: () => Promise.resolve({ kind: "pass" }) },
    getDeclaredState: () => state,
    findTooWide: (spec) => history.findTooWide(spec),
    nowUnixMs: () => 0,
    rowLimitBytes: 65_536,
  });
  const submit = async (jobId: string) => {
    const request = {
      head: {
        method: "submit" as const,
        host: "",
        path: `/${jobId}`,
        key: "key",
        callerTimeoutMs: 3_000,
      },
      receivedMs: clock.nowMs(),
      readBody: () => Promise.resolve(new Uint8Array(0)),
    };
    for (const filter of filters) {
      const answer = await filter.apply(request);
      if (answer !== undefined) return answer;
    }
    return undefined;
  };
  return { clock, store, declare, submit };
}

describe("a job of which a unit is wider than the quota", () => {
  // Guards against a job that is accepted and waits for ever.
  it("is refused with the reason, and nothing is stored", async () => {
    const { clock, store, declare, submit } = createEntry();
    declare(3);
    await clock.advance(30_000);
    const answer = await submit(JOB);
    expect(answer).to.include({ status: 429, retryAfterS: 30 });
    expect(JSON.parse(answer!.body!)).to.deep.include({
      error: "a unit is wider than the quota",
      step: 0,
      declaredVersion: 2,
    });
    // The marker of the refusal, which keeps an earlier try from being stored later.
    expect(store.keys()).to.deep.equal([refusalKey(JOB as CellJobId)]);
  });

  // Guards against a refusal of a job that runs, as it was accepted under an earlier quota.
  it("is the same job if it has been accepted before", async () => {
    const { clock, declare, submit } = createEntry();
    expect(await submit(JOB)).to.include({ status: 200 });
    declare(3);
    await clock.advance(30_000);
    expect(await submit(JOB)).to.include({ status: 200 });
    expect(await submit(OTHER_JOB)).to.include({ status: 429 });
  });

  // Guards against a refusal while an earlier submission, which was accepted under a larger quota,
  // may still take effect.
  it("is accepted shortly after the quota has fallen, or after the entry has started", async () => {
    const { clock, declare, submit } = createEntry();
    declare(3);
    expect(await submit(JOB)).to.include({ status: 200 });
    await clock.advance(30_000);
    declare(4);
    declare(3);
    await clock.advance(5_000);
    expect(await submit(OTHER_JOB)).to.include({ status: 200 });
  });

  // Guards against the refusal of a wide step of single tasks, which runs in waves.
  it("is not refused if the tasks start one by one", async () => {
    const clock = ManualClock.create();
    const history = QuotaHistory.create(clock);
    history.record(createState(1, 3));
    await clock.advance(30_000);
    const find = (isGang: boolean) =>
      history.findTooWide(createSpec(JOB, {
        organisation: A,
        steps: [createStep({ count: 40, isGang })],
      }));
    expect(find(false)).to.equal(undefined);
    expect(find(true)).to.include({ step: 0, declaredVersion: 1 });
  });
});
