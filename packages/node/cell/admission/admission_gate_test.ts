/** Tests of an entry's decisions on submitted jobs, and of its answers to callers. */
import {
  brandId,
  type FailureDomainName,
  ManualClock,
  type OrganisationName,
  type ServiceName,
} from "@coltsfootpond/common";
import { createCallerCodec } from "@coltsfootpond/platform";
import {
  FLOOR_PERIOD,
  GUARANTEED_LEVEL,
  type QueueName,
} from "@coltsfootpond/policy";
import type {
  DeclaredState,
  OrganisationGuarantee,
  TransactOutcome,
} from "@coltsfootpond/ports";
import { expect } from "chai";
import { createCallerFilters } from "../callers/caller_filters.ts";
import { JobRepository } from "../callers/job_repository.ts";
import type { LogFields } from "../log.ts";
import { jobKey } from "../rows.ts";
import {
  createFollower,
  createSpec,
  createStep,
  createStoreFake,
} from "../test_fixtures.ts";
import { AdmissionGate } from "./admission_gate.ts";
import type { UsableLoad } from "./published_load.ts";

const SERVICE = brandId<ServiceName>("service");
const ORGANISATION = brandId<OrganisationName>("organisation");
const WORKER = { cpuMilli: 128_000, memoryMib: 512_000, accelerators: 8 };
/** A full service of 100 workers, before which an hour of work waits. */
const OVERLOAD: UsableLoad = {
  forecast: {
    services: [{
      service: SERVICE,
      reference: WORKER,
      free: { cpuMilli: 0, memoryMib: 0, accelerators: 0 },
      slots: [0, 0, 0, 0, 0, 0, 0, 0],
      headroomAccelerators: 0,
      hasEvictableRuns: false,
      rate: 100,
      runningWorkMs: 100_000,
      waiting: [[GUARANTEED_LEVEL, 100 * 3_600_000]],
      arriving: [],
      singleTaskRate: 100,
      waitingSingleTasks: [[GUARANTEED_LEVEL, 100 * 3_600_000]],
    }],
    queues: [],
  },
  ageMs: 420.4,
  version: 77,
  epoch: 5,
};
const STATE: DeclaredState = {
  version: 1,
  queues: [{
    queue: brandId<QueueName>("queue"),
    service: SERVICE,
    host: "queue.example",
    pathPrefix: "/queue/",
    isPublic: false,
    requiresTicket: false,
    priority: 1,
    maximumAttempts: 3,
    stretch: 3,
    allowanceMs: 1_000,
    timeoutMs: 3_000,
  }],
  organisationByApiKey: new Map([["key", ORGANISATION]]),
  guarantees: [],
  shares: [],
  services: new Set(),
  capacityEnforcingServices: new Set(),
  limits: {
    headerBytes: 8_192,
    bodyBytes: 2_000,
    headerTimeoutMs: 5_000,
    keepAliveMs: 5_000,
  },
};

/** One entry; `answer` replaces those of the store to all its writes. */
function createEntry(
  load: UsableLoad | undefined,
  answer?: TransactOutcome,
  entry = "front-1",
) {
  const clock = ManualClock.create();
  const fake = createStoreFake();
  const store = answer === undefined
    ? fake
    : { ...fake, transact: () => Promise.resolve(answer) };
  const lines: (readonly [string, LogFields])[] = [];
  const log = {
    info: (event: string, fields: LogFields = {}) => {
      lines.push([event, fields]);
    },
    warn: () => {},
  };
  const jobRepository = JobRepository.create({
    store,
    follower: createFollower(store, clock),
    clock,
    getStoreDownMs: () => 0,
    nowUnixMs: () => 0,
  });
  const admission = AdmissionGate.create({
    entry,
    failureDomain: brandId<FailureDomainName>("domain"),
    load: { usable: load },
    jobRepository,
    log,
  });
  const codec = createCallerCodec();
  const filters = createCallerFilters({
    codec,
    jobRepository,
    admission,
    getDeclaredState: () => STATE,
    findTooWide: () => undefined,
    nowUnixMs: () => 0,
    rowLimitBytes: 65_536,
  });
  const submit = async (jobId: string) => {
    const head = codec.decodeHead("POST", `/queue/${jobId}`, {
      host: "queue.example",
      authorization: "Token key",
    });
    const steps = [{ count: 4, gpu: 8, cpu: 1_000, estimateMs: 5_000 }];
    const body = new TextEncoder().encode(JSON.stringify({ steps, spec: "" }));
    const request = {
      head,
      receivedMs: clock.nowMs(),
      readBody: () => Promise.resolve(body),
    };
    for (const filter of filters) {
      const answered = await filter.apply(request);
      if (answered !== undefined) return answered;
    }
    return undefined;
  };
  return { clock, store: fake, lines, submit, admission };
}

/** Ids that differ in their first digit, too. */
function createJobId(number: number): string {
  return `${number}`.padStart(8, "0").repeat(2);
}

describe("admission at an entry", () => {
  it("answers 429 with Retry-After, stores no job and logs the inputs with their age and version", async () => {
    const { submit, store, lines } = createEntry(OVERLOAD);
    const answer = await submit(createJobId(1));
    expect(answer).to.include({ status: 429, reason: "cannot end in time" });
    expect(answer!.retryAfterS).to.be.at.least(1);
    expect(store.keys()).to.not.include(jobKey(createJobId(1) as never));
    expect(lines.map(([event]) => event)).to.deep.equal(["job.refused"]);
    expect(lines[0]![1]).to.include({
      job: createJobId(1),
      queue: "queue",
      organisation: ORGANISATION,
      reason: "cannot end in time",
      retryAfterS: answer!.retryAfterS,
      workMs: 20_000,
      freeAccelerators: 0,
      loadAgeMs: 420,
      loadVersion: 77,
      epoch: 5,
    });
  });

  it("admits every job without a usable load", async () => {
    const { submit, lines } = createEntry(undefined);
    expect(await submit(createJobId(1))).to.include({ status: 200 });
    expect(lines).to.deep.equal([]);
  });

  // Guards against a second job, or a refusal, where a caller repeats an accepted submission.
  it("accepts a repeated submission of a stored job under any load", async () => {
    const { clock, store } = createEntry(undefined);
    const follower = createFollower(store, clock);
    const repository = JobRepository.create({
      store,
      follower,
      clock,
      getStoreDownMs: () => 0,
      nowUnixMs: () => 0,
    });
    const spec = createSpec(createJobId(1), {
      steps: [createStep({ count: 8, need: WORKER })],
    });
    await repository.submit(spec, 1_000);
    const gate = AdmissionGate.create({
      entry: "front-2",
      failureDomain: brandId<FailureDomainName>("domain"),
      load: { usable: OVERLOAD },
      jobRepository: repository,
      log: { info: () => {}, warn: () => {} },
    });
    expect(await gate.check(spec, [], 1_000)).to.deep.equal({
      kind: "accepted",
    });
  });

  // Guards against a 429 that a write of an earlier try, which arrives later, makes untrue.
  it("answers 504 if the refusal's row may not be stored, and 503 if the store is away", async () => {
    const lost = { kind: "unavailable", effect: "lost", reason: "x" } as const;
    const unsettled = createEntry(OVERLOAD, lost);
    const answer = unsettled.submit(createJobId(1));
    await unsettled.clock.advance(5_000);
    expect(await answer).to.include({ status: 504 });
    expect(unsettled.lines).to.deep.equal([]);
    const away = createEntry(OVERLOAD, { ...lost, effect: "refused" });
    expect(await away.submit(createJobId(1))).to.include({ status: 503 });
  });

  // Guards against an organisation or a queue that is always the one refused.
  it("admits the smallest share, and says so in the log", async () => {
    const { submit, lines } = createEntry(OVERLOAD);
    const statuses: (number | undefined)[] = [];
    for (let job = 0; job < 4 * FLOOR_PERIOD; job++) {
      statuses.push((await submit(createJobId(job)))?.status);
    }
    expect(statuses.filter((status) => status === 200)).to.have.length(4);
    expect(statuses.filter((status) => status === 429)).to.have.length(
      4 * (FLOOR_PERIOD - 1),
    );
    expect(lines.filter(([event]) => event === "job.admitted_by_floor")).to
      .have.length(4);
  });

  // Guards against refused callers that return together, and against entries that differ in it.
  it("spreads Retry-After over jobs, the same at all entries", async () => {
    const one = createEntry(OVERLOAD, undefined, "front-1");
    const other = createEntry(OVERLOAD, undefined, "front-2");
    const seen = new Set<number>();
    for (let job = 0; job < 12; job++) {
      const answers = [
        await one.submit(createJobId(job)),
        await other.submit(createJobId(job)),
      ].map((answer) => answer?.retryAfterS);
      const [first, second] = answers;
      if (first === undefined || second === undefined) continue;
      expect(first).to.equal(second);
      seen.add(first);
    }
    expect(seen.size).to.be.greaterThan(5);
  });

  it("never refuses urgent jobs that fit into the guarantee of their organisation", async () => {
    const { admission } = createEntry(OVERLOAD);
    const guarantees: readonly OrganisationGuarantee[] = [
      { organisation: ORGANISATION, accelerators: 32 },
    ];
    const submit = (count: number, organisation = ORGANISATION) =>
      admission.check(
        createSpec(createJobId(1), {
          priority: 0,
          organisation,
          steps: [createStep({ count, need: WORKER })],
        }),
        guarantees,
        1_000,
      );
    expect((await submit(4)).kind).to.equal("pass");
    expect((await submit(5)).kind).to.equal("refused_now");
    const other = brandId<OrganisationName>("other");
    expect((await submit(4, other)).kind).to.equal("refused_now");
  });
});
