/** Each filter by itself, on a manual clock. */
import {
  createId,
  ManualClock,
  type ResultName,
  type RunnerName,
  SeededRandom,
} from "@coltsfootpond/common";
import { expect } from "chai";
import { Admissions, createAdmissionFilter } from "./admission.ts";
import { createAuthoriseFilter } from "./authorise.ts";
import { createDeduplicateFilter } from "./deduplicate.ts";
import { createDispatchJobFilter } from "./dispatch_job.ts";
import { createIdentifyFilter } from "./identify.ts";
import { createLimitsFilter } from "./limits.ts";
import { createPinFilter } from "./pin.ts";
import { createRetryFilter } from "./retry.ts";
import { CallRecords, type CallRow } from "../call_records.ts";
import type { Handler } from "../chain.ts";
import {
  CALL_SERVICE,
  createDeclarations,
  ORGANISATION,
  World,
} from "../fixture_test.ts";
import { HeldWaits } from "../held_waits.ts";
import { Recorder } from "../recorder.ts";
import {
  type CallRequest,
  failed,
  type PinnedRequest,
  type RequestOutcome,
} from "../types.ts";

const ANSWERED: RequestOutcome = {
  kind: "answered",
  answer: {
    attemptId: createId("attempt"),
    status: 200,
    contentType: "text/plain",
    body: new Uint8Array(1),
  },
};

function createPinned(
  headers: Readonly<Record<string, string>> = {},
  change: Partial<PinnedRequest> = {},
): PinnedRequest {
  return {
    exchange: {
      method: "POST",
      path: "",
      parameters: {},
      query: new URLSearchParams(),
      headers,
      body: new Uint8Array(4),
      receivedMs: 1_000,
      signal: new AbortController().signal,
      organisation: ORGANISATION.name,
    },
    serviceName: CALL_SERVICE.name,
    requestId: createId("request"),
    keyed: true,
    configuration: {
      version: 3,
      head: {} as never,
      declarations: createDeclarations(),
    },
    ...change,
  };
}

function createCall(change: Partial<CallRequest> = {}): CallRequest {
  return {
    ...createPinned(),
    organisation: ORGANISATION,
    wait: { respondAsync: false },
    declaredNonIdempotent: false,
    service: CALL_SERVICE,
    idempotent: true,
    deadlineMs: 2_000,
    signal: undefined,
    ...change,
  };
}

/** Records what reaches the next filter. */
function createNext<Request>(outcome: RequestOutcome = ANSWERED) {
  const seen: Request[] = [];
  const next: Handler<Request> = (request) => {
    seen.push(request);
    return Promise.resolve(outcome);
  };
  return { seen, next };
}

function getName(outcome: RequestOutcome): string {
  return outcome.kind === "failed" ? outcome.resultName : outcome.kind;
}

describe("filters", () => {
  it("pin: refuses without a fresh configuration and hands the current one on", async () => {
    const views: Readonly<Record<string, unknown>> = {
      none: { current: () => undefined, isFresh: () => true },
      stale: { current: () => ({ version: 1 }), isFresh: () => false },
      fresh: { current: () => ({ version: 2 }), isFresh: () => true },
    };
    const seen: Record<string, unknown> = {};
    for (const [name, view] of Object.entries(views)) {
      const { next, seen: passed } = createNext<PinnedRequest>();
      const filter = createPinFilter(view as never);
      const outcome = await filter.handle(createPinned(), next);
      seen[name] = [getName(outcome), passed[0]?.configuration];
    }
    expect(seen).toMatchSnapshot();
  });

  it("identify: reads the caller's headers and refuses what it cannot read", async () => {
    const filter = createIdentifyFilter();
    const { next, seen } = createNext<object>();
    const handle = (headers: Record<string, string>) =>
      filter.handle(createPinned(headers), next).then(
        getName,
        (error) => error.resultName,
      );
    const outcomes = [
      await handle({}),
      await handle({
        "prefer": "respond-async, wait=5, other",
        "deadline-ms": "250",
        "coltsfootpond-idempotent": "False",
      }),
      await handle({ "prefer": "wait=999999" }),
      await handle({ "deadline-ms": "-1" }),
      await handle({ "coltsfootpond-idempotent": "maybe" }),
    ];
    const read = seen.map((request) => {
      const { wait, remainingMs, declaredNonIdempotent } =
        request as never as CallRequest;
      return { wait, remainingMs, declaredNonIdempotent };
    });
    expect({ outcomes, read }).toMatchSnapshot();
    const stranger = createPinned();
    const exchange = { ...stranger.exchange, organisation: createId("x") };
    const outcome = await filter.handle(
      { ...stranger, exchange } as never,
      next,
    );
    expect(getName(outcome)).to.equal("UNAUTHENTICATED");
  });

  it("authorise: lets the declared organisations through and bounds the deadline", async () => {
    const filter = createAuthoriseFilter();
    const outcomes: unknown[] = [];
    for (const remainingMs of [undefined, 10, 1_000_000]) {
      const { next, seen } = createNext<CallRequest>();
      await filter.handle(createCall({ remainingMs }), next as never);
      outcomes.push(seen[0]?.deadlineMs);
    }
    const { next } = createNext();
    const declarations = createDeclarations({
      organisations: [createId("others")],
    });
    const configuration = { ...createPinned().configuration, declarations };
    outcomes.push(
      getName(await filter.handle(createCall({ configuration }), next)),
      getName(
        await filter.handle(
          createCall({ serviceName: createId("none") }),
          next,
        ),
      ),
    );
    expect(outcomes).to.deep.equal([
      3_000,
      1_010,
      3_000,
      "FORBIDDEN",
      "UNKNOWN_SERVICE",
    ]);
  });

  it("limits: divides rate and concurrency among the entries and gives back", async () => {
    const clock = ManualClock.create();
    const filter = createLimitsFilter({ clock, countEntries: () => 2 });
    const organisation = {
      ...ORGANISATION,
      requestsPerSecond: 8,
      concurrentRequests: 4,
    };
    const releases: (() => void)[] = [];
    const next: Handler<unknown> = () =>
      new Promise((resolve) => releases.push(() => resolve(ANSWERED)));
    const send = () => filter.handle(createCall({ organisation }), next);
    const held = [send(), send()];
    const third = await send();
    releases.forEach((release) => release());
    await Promise.all(held);
    const more = [send(), send()];
    releases.forEach((release) => release());
    await Promise.all(more);
    const fifth = await send();
    await clock.advance(250);
    const sixth = send();
    releases.forEach((release) => release());
    expect([getName(third), fifth, getName(await sixth)]).toMatchSnapshot();
  });

  it("dispatch_job: turns a submission into a job, and passes calls on", async () => {
    const clock = ManualClock.create();
    const jobs = {
      submit: () =>
        Promise.resolve({ kind: "accepted", jobId: "j", failureDomain: "n" }),
      waitForEnd: () => new Promise(() => {}),
    } as never;
    const waits = HeldWaits.create({ clock, jobs });
    const filter = createDispatchJobFilter({ jobs, waits });
    const service = createDeclarations().services[1]!;
    const { next, seen } = createNext<CallRequest>();
    const submission = (wait: CallRequest["wait"]) =>
      filter.handle({ ...createCall({ wait }), service } as never, next);
    const async = await submission({ respondAsync: true });
    const held = submission({ respondAsync: false });
    waits.releaseAll();
    expect(await held).to.deep.equal(async);
    expect(async).to.include({ kind: "job" });
    await filter.handle(createCall({ idempotent: false }), next);
    expect(seen).to.have.lengthOf(1);
    expect(seen[0]?.signal).to.equal(undefined);
  });

  it("admission: admits to the limit, waits fairly, refuses when hopeless", async () => {
    const clock = ManualClock.create();
    let capacity = 2;
    const pool = { getCapacity: () => capacity } as never;
    const admissions = Admissions.create({ clock, pool });
    const filter = createAdmissionFilter(clock, admissions);
    const started: string[] = [];
    const run = (name: string, weight: number, deadlineMs = 60_000) => {
      const organisation = { ...ORGANISATION, name: createId(name), weight };
      const request = createCall({ organisation, deadlineMs } as never);
      return filter.handle(request, async () => {
        started.push(name);
        await clock.sleep(10);
        return ANSWERED;
      });
    };
    const running = [
      ...Array.from({ length: 8 }, () => run("large", 1)),
      ...Array.from({ length: 8 }, () => run("small", 1)),
      ...Array.from({ length: 4 }, () => run("double", 2)),
    ];
    const late = run("late", 1, 5);
    await clock.advance(5);
    expect(getName(await late)).to.equal("DEADLINE_UNREACHABLE");
    await clock.advance(45);
    const hopeless = run("large", 1, clock.nowMs() + 10);
    expect(getName(await hopeless)).to.equal("DEADLINE_UNREACHABLE");
    await clock.advance(200);
    await Promise.all(running);
    expect(started.join(" ")).toMatchSnapshot();
    expect(admissions.list()[0]?.[1]).to.include({ inProgress: 0, queued: 0 });
    capacity = 0;
    expect(getName(await run("large", 1))).to.equal("NO_UPSTREAM");
  });

  it("admission: falls with refusals, never below one, and rises again", async () => {
    const clock = ManualClock.create();
    const pool = { getCapacity: () => 100 } as never;
    const admission = Admissions.create({ clock, pool }).get(CALL_SERVICE);
    const enter = () => admission.enter(createCall({ deadlineMs: 1e9 }));
    for (let count = 0; count < 50; count++) await enter();
    for (let count = 0; count < 60; count++) {
      admission.noteOverload();
      await clock.advance(101);
    }
    const refused = failed("UPSTREAM_REFUSED");
    for (let count = 0; count < 49; count++) admission.leave(refused, 1);
    expect(admission.inProgress).to.equal(1);
    void enter();
    expect(admission.queued).to.equal(1);
    admission.leave(ANSWERED, 1);
    for (let count = 0; count < 20; count++) {
      const entered = enter();
      if (admission.queued > 0) admission.leave(ANSWERED, 1);
      await entered;
    }
    expect(admission.inProgress).to.be.above(1);
  });

  it("deduplicate: claims strict calls only, and settles what it claimed", async () => {
    const seen: Record<string, unknown> = {};
    const outcomes: Readonly<Record<string, RequestOutcome>> = {
      answered: ANSWERED,
      refused: failed("UPSTREAM_REFUSED"),
      lost: failed("UPSTREAM_LOST"),
    };
    for (const [name, outcome] of Object.entries(outcomes)) {
      const { table, objects } = new World();
      const clock = ManualClock.create();
      const recorder = Recorder.create(clock);
      const records = CallRecords.create({ table, objects });
      const filter = createDeduplicateFilter({ records, recorder });
      const { next, seen: passed } = createNext<CallRequest>(outcome);
      const strict = createCall({ idempotent: false });
      const results = [
        getName(await filter.handle(strict, next)),
        getName(await filter.handle(strict, next)),
        getName(await filter.handle(createCall({ keyed: false }), next)),
      ];
      const scanned = await table.scan("", { timeoutMs: 1 });
      const rows = scanned.kind === "rows"
        ? scanned.rows.map(({ value }) => (value as never as CallRow).state)
        : [];
      seen[name] = { results, rows, runs: passed.length };
    }
    expect(seen).toMatchSnapshot();
  });

  it("retry: tries again only what is safe, within budget and deadline, elsewhere", async () => {
    const clock = ManualClock.create();
    const runs = async (
      change: Partial<CallRequest>,
      results: readonly ResultName[],
    ): Promise<string> => {
      const filter = createRetryFilter({
        clock,
        random: SeededRandom.create(5),
      });
      let attempts = 0;
      const avoided: number[] = [];
      const request = createCall({
        deadlineMs: clock.nowMs() + 500,
        ...change,
      });
      const running = filter.handle(request, ({ avoid }) => {
        avoided.push(avoid.size);
        const name = results[Math.min(attempts++, results.length - 1)]!;
        const runner = createId<RunnerName>(`runner-${attempts}`);
        return Promise.resolve(
          name === "ANSWERED" ? ANSWERED : failed(name, { runner }),
        );
      });
      await clock.advance(500);
      return `${getName(await running)} after ${avoided.join(" ")}`;
    };
    const strict = { idempotent: false };
    const aborted = AbortSignal.abort();
    expect({
      lost: await runs({}, ["UPSTREAM_LOST", "ANSWERED"]),
      lostStrict: await runs(strict, ["UPSTREAM_LOST"]),
      refusedStrict: await runs(strict, ["UPSTREAM_REFUSED", "ANSWERED"]),
      refusedThenLost: await runs(strict, [
        "UPSTREAM_REFUSED",
        "UPSTREAM_LOST",
      ]),
      lostThenRefused: await runs({}, ["UPSTREAM_LOST", "UPSTREAM_REFUSED"]),
      hopeless: await runs({}, ["NO_UPSTREAM"]),
      late: await runs({ deadlineMs: clock.nowMs() }, ["UPSTREAM_REFUSED"]),
      gone: await runs({ signal: aborted }, ["UPSTREAM_LOST"]),
    }).toMatchSnapshot();
  });

  it("retry: spends no more than its share of fresh calls", async () => {
    const clock = ManualClock.create();
    const random = SeededRandom.create(5);
    const filter = createRetryFilter({ clock, random });
    let attempts = 0;
    for (let count = 0; count < 1_000; count++) {
      const running = filter.handle(createCall({ deadlineMs: 1e9 }), () => {
        attempts++;
        return Promise.resolve(failed("UPSTREAM_REFUSED"));
      });
      await clock.advance(200);
      await running;
    }
    const share = CALL_SERVICE.retryBudgetShare;
    expect(attempts).to.be.within(1_000 + 1, 1_000 * (1 + share) + 10);
  });
});
