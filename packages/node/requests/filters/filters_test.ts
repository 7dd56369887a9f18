/** Tests of the single filters that pin, identify, authorise, limit and dispatch requests. */
import { brandId, ManualClock } from "@coltsfootpond/common";
import { expect } from "chai";
import { createAuthoriseFilter } from "./authorise.ts";
import { createDispatchJobFilter } from "./dispatch_job.ts";
import {
  ANSWERED,
  createCall,
  createNext,
  createPinned,
  getName,
} from "./filter_fixture_test.ts";
import { createIdentifyFilter } from "./identify.ts";
import { createLimitsFilter } from "./limits.ts";
import { createPinFilter } from "./pin.ts";
import type { Handler } from "../filter_chain.ts";
import { createDeclarations, ORGANISATION } from "../fixture_test.ts";
import { JobWaits } from "../job_waits.ts";
import type { CallRequest, PinnedRequest } from "../types.ts";

describe("filters", () => {
  it("pin: refuses without a fresh configuration and passes the current one on", async () => {
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

  it("identify: parses the caller's headers and refuses malformed ones", async () => {
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
    const pinned = createPinned();
    const exchange = { ...pinned.exchange, organisation: brandId("x") };
    const outcome = await filter.handle(
      { ...pinned, exchange } as never,
      next,
    );
    expect(getName(outcome)).to.equal("UNAUTHENTICATED");
  });

  it("authorise: admits the declared organisations and limits the deadline", async () => {
    const filter = createAuthoriseFilter();
    const outcomes: unknown[] = [];
    for (const remainingMs of [undefined, 10, 1_000_000]) {
      const { next, seen } = createNext<CallRequest>();
      await filter.handle(createCall({ remainingMs }), next as never);
      outcomes.push(seen[0]?.deadlineMs);
    }
    const { next } = createNext();
    const declarations = createDeclarations({
      organisations: [brandId("others")],
    });
    const configuration = { ...createPinned().configuration, declarations };
    outcomes.push(
      getName(await filter.handle(createCall({ configuration }), next)),
      getName(
        await filter.handle(
          createCall({ serviceName: brandId("none") }),
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

  it("limits: divides rate and concurrency among the entries and releases ended requests", async () => {
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

  it("dispatch_job: submits a job, and passes calls on", async () => {
    const clock = ManualClock.create();
    const jobs = {
      submit: () =>
        Promise.resolve({ kind: "accepted", jobId: "j", failureDomain: "n" }),
      waitForEnd: () => new Promise(() => {}),
    } as never;
    const waits = JobWaits.create({ clock, jobs });
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
});
