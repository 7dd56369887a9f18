/** Tests of the single filters that admit, deduplicate and retry calls, on a manual clock. */
import {
  brandId,
  ManualClock,
  NULL_EVENT_SINK,
  type ResultName,
  type RunnerName,
  SeededRandom,
} from "@coltsfootpond/common";
import { expect } from "chai";
import { Admissions, createAdmissionFilter } from "./admission.ts";
import { createDeduplicateFilter } from "./deduplicate.ts";
import {
  ANSWERED,
  createCall,
  createNext,
  getName,
} from "./filter_fixture_test.ts";
import { createRetryFilter } from "./retry.ts";
import { CallRecords, type CallRow } from "../call_records.ts";
import { CALL_SERVICE, ORGANISATION, RequestFixture } from "../fixture_test.ts";
import { AnswerRecorder } from "../answer_recorder.ts";
import { type CallRequest, failed, type RequestOutcome } from "../types.ts";

describe("flow filters", () => {
  it("admission: admits up to the limit, queues by fair share, and refuses calls that would be late", async () => {
    const clock = ManualClock.create();
    let capacity = 2;
    const pool = { getCapacity: () => capacity } as never;
    const admissions = Admissions.create({ clock, pool });
    const filter = createAdmissionFilter(admissions);
    const started: string[] = [];
    const run = (name: string, weight: number, deadlineMs = 60_000) => {
      const organisation = { ...ORGANISATION, name: brandId(name), weight };
      const request = createCall({ organisation, deadlineMs } as never);
      return filter.handle(request, async () => {
        started.push(name);
        await clock.sleep(10);
        admissions.get(CALL_SERVICE).recordAnswered(10);
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
    const tooLate = run("large", 1, clock.nowMs() + 10);
    expect(getName(await tooLate)).to.equal("DEADLINE_UNREACHABLE");
    await clock.advance(200);
    await Promise.all(running);
    expect(started.join(" ")).toMatchSnapshot();
    expect(admissions.list()[0]?.[1]).to.include({ inProgress: 0, queued: 0 });
    capacity = 0;
    expect(getName(await run("large", 1))).to.equal("NO_UPSTREAM");
  });

  it("admission: lowers its limit on refusals to no less than one, and raises it again", async () => {
    const clock = ManualClock.create();
    const pool = { getCapacity: () => 100 } as never;
    const admission = Admissions.create({ clock, pool }).get(CALL_SERVICE);
    const enter = () => admission.enter(createCall({ deadlineMs: 1e9 }));
    for (let count = 0; count < 50; count++) await enter();
    for (let count = 0; count < 60; count++) {
      admission.recordFailed(true);
      await clock.advance(101);
    }
    for (let count = 0; count < 49; count++) admission.leave();
    expect(admission.inProgress).to.equal(1);
    void enter();
    expect(admission.queued).to.equal(1);
    admission.leave();
    for (let count = 0; count < 20; count++) {
      const entered = enter();
      await clock.advance(101);
      if (count % 8 === 0) admission.recordFailed(true);
      else admission.recordAnswered(1);
      if (admission.queued > 0) admission.leave();
      await entered;
    }
    expect(admission.inProgress).to.be.above(1);
  });

  it("admission: recovers from a stall that raised the estimated duration", async () => {
    const clock = ManualClock.create();
    const pool = { getCapacity: () => 8 } as never;
    const admission = Admissions.create({ clock, pool }).get(CALL_SERVICE);
    for (let count = 0; count < 50; count++) admission.recordAnswered(5_000);
    const enter = () =>
      admission.enter(createCall({ deadlineMs: clock.nowMs() + 300 }));
    const late = await admission.enter(createCall({ deadlineMs: 0 }));
    expect(late).to.include({
      resultName: "DEADLINE_UNREACHABLE",
      retryAfterMs: 1_000,
    });
    expect(await enter()).to.equal(undefined);
    expect(await enter()).to.include({ resultName: "DEADLINE_UNREACHABLE" });
    const { progressTimeoutMs } = CALL_SERVICE;
    const deadlineMs = clock.nowMs() + progressTimeoutMs + 1;
    expect(await admission.enter(createCall({ deadlineMs }))).to.equal(
      undefined,
    );
    admission.leave();
    for (let count = 0; count < 20; count++) {
      admission.recordAnswered(10);
      admission.leave();
      expect(await enter()).to.equal(undefined);
    }
    expect(await enter()).to.equal(undefined);
  });

  it("admission: refuses no waiting call because of a single slow answer", async () => {
    const clock = ManualClock.create();
    const pool = { getCapacity: () => 8 } as never;
    const admission = Admissions.create({ clock, pool }).get(CALL_SERVICE);
    admission.recordAnswered(700);
    const enter = () =>
      admission.enter(createCall({ deadlineMs: clock.nowMs() + 500 }));
    for (let count = 0; count < 8; count++) {
      expect(await enter()).to.equal(undefined);
    }
    const ninth = enter();
    expect(admission.queued).to.equal(1);
    admission.recordAnswered(5);
    admission.leave();
    expect(await ninth).to.equal(undefined);
    for (let count = 0; count < 4; count++) admission.recordAnswered(700);
    expect(await enter()).to.include({ resultName: "DEADLINE_UNREACHABLE" });
  });

  it("admission: refuses a waiting call by the current estimate, not by that of its arrival", async () => {
    const clock = ManualClock.create();
    const pool = { getCapacity: () => 1 } as never;
    const admission = Admissions.create({ clock, pool }).get(CALL_SERVICE);
    const enter = () => admission.enter(createCall({ deadlineMs: 450 }));
    admission.recordAnswered(700);
    expect(await enter()).to.equal(undefined);
    const waiting = enter();
    for (let count = 0; count < 20; count++) admission.recordAnswered(5);
    await clock.advance(200);
    admission.leave();
    expect(await waiting).to.equal(undefined);
    const late = enter();
    await clock.advance(250);
    expect(await late).to.include({ resultName: "DEADLINE_UNREACHABLE" });
  });

  it("deduplicate: claims only non-idempotent calls, and records their outcomes", async () => {
    const seen: Record<string, unknown> = {};
    const outcomes: Readonly<Record<string, RequestOutcome>> = {
      answered: ANSWERED,
      refused: failed("UPSTREAM_REFUSED"),
      lost: failed("UPSTREAM_LOST"),
    };
    for (const [name, outcome] of Object.entries(outcomes)) {
      const { table, objects } = new RequestFixture();
      const clock = ManualClock.create();
      const recorder = AnswerRecorder.create(clock, NULL_EVENT_SINK);
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

  it("retry: retries only safe calls on other runners, within budget and deadline", async () => {
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
        const runner = brandId<RunnerName>(`runner-${attempts}`);
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

  it("retry: spends no more than the budget's share of calls", async () => {
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
