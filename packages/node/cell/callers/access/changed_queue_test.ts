/** Tests of calls for jobs whose queue is declared otherwise than when they were accepted. */
import { createCallerCodec } from "@coltsfootpond/platform";
import type { DeclaredState } from "@coltsfootpond/ports";
import { expect } from "chai";
import { declare, EntryFake } from "./caller_access_fixtures.ts";

const JOB = "00000000000000aa";
const OTHER_JOB = "00000000000000bb";
const KEYS = { owner: ["owner-key"], other: ["other-key"] };
const PRIVATE = [{ name: "queue" }];
const PUBLIC = [{ name: "queue", isPublic: true }];

const createEntry = (state: DeclaredState) =>
  EntryFake.create(createCallerCodec(), state);

describe("a job whose queue is declared otherwise", () => {
  // Guards against an accepted job that is answered 410, and whose tasks run on after a DELETE that
  // was acknowledged: its queue was removed and added again as public (review/11).
  it("is shown and cancelled without a key once its queue is public", async () => {
    for (const isRemovedBetween of [true, false]) {
      const entry = createEntry(declare(PRIVATE, KEYS));
      await entry.call("POST", `/queue/${JOB}`, "owner-key");
      if (isRemovedBetween) {
        entry.state = declare([], KEYS, 2);
        expect(await entry.readAndCancel(`/queue/${JOB}`)).to.deep.equal(
          [404, 404],
        );
      }
      entry.state = declare(PUBLIC, KEYS, 3);
      for (const key of [undefined, "unknown", "other-key", "owner-key"]) {
        expect((await entry.call("GET", `/queue/${JOB}`, key)).status, key)
          .to.equal(200);
      }
      expect((await entry.call("DELETE", `/queue/${JOB}`)).status)
        .to.equal(200);
      expect(entry.readRow(JOB)).to.include({ state: "cancelled" });
      expect(await entry.call("GET", `/queue/${JOB}`)).to.include({
        status: 200,
        body: '{"state":"cancelled"}',
      });
    }
  });

  // Guards against accepted jobs that nobody can ask for any more, as they have no organisation.
  it("is shown and cancelled with a key once its queue is no longer public", async () => {
    const entry = createEntry(declare(PUBLIC, KEYS));
    await entry.call("POST", `/queue/${JOB}`);
    entry.state = declare(PRIVATE, KEYS, 2);
    expect(await entry.readAndCancel(`/queue/${JOB}`)).to.deep.equal(
      [401, 401],
    );
    expect(await entry.readAndCancel(`/queue/${JOB}`, "unknown")).to.deep.equal(
      [401, 401],
    );
    expect(await entry.readAndCancel(`/queue/${JOB}`, "owner-key")).to.deep
      .equal([200, 200]);
    expect(entry.readRow(JOB)).to.include({ state: "cancelled" });
  });

  // Guards against a public queue through which anyone reads and cancels the jobs of other queues.
  it("is not reached through another queue that is public", async () => {
    const queues = [{ name: "queue" }, { name: "open", isPublic: true }];
    const entry = createEntry(declare(queues, KEYS));
    await entry.call("POST", `/queue/${JOB}`, "owner-key");
    await entry.call("POST", `/open/${OTHER_JOB}`);
    for (const key of [undefined, "unknown", "other-key"]) {
      expect(await entry.readAndCancel(`/open/${JOB}`, key)).to.deep.equal(
        [410, 410],
      );
    }
    expect(await entry.readAndCancel(`/queue/${JOB}`, "other-key")).to.deep
      .equal([410, 410]);
    expect(await entry.readAndCancel(`/queue/${OTHER_JOB}`, "owner-key")).to
      .deep.equal([410, 410]);
    expect(await entry.call("GET", `/open/${JOB}`)).to.deep.equal({
      status: 410,
      reason: "no such job: another queue",
      inputs: {
        queue: "open",
        isPublic: true,
        organisation: undefined,
        jobQueue: "queue",
        jobOrganisation: "owner",
      },
    });
    expect(entry.readRow(JOB)).to.include({ kind: "live" });
    expect(entry.readRow(OTHER_JOB)).to.include({ kind: "live" });
  });

  // Guards against an acknowledged cancellation that is forgotten, or an end that is hidden.
  it("is shown with each of its ends", async () => {
    const ends = [
      { state: "completed", endedUnixMs: 0 },
      { state: "failed", reason: "attempts", endedUnixMs: 0 },
      { state: "cancelled", endedUnixMs: 0 },
    ] as const;
    for (
      const [from, to, first, then] of [
        [PRIVATE, PUBLIC, "owner-key", undefined],
        [PUBLIC, PRIVATE, undefined, "other-key"],
      ] as const
    ) {
      for (const end of ends) {
        const entry = createEntry(declare(from, KEYS));
        await entry.call("POST", `/queue/${JOB}`, first);
        const row = entry.readRow(JOB);
        if (row?.kind !== "live") throw new Error("not accepted");
        const { jobId: _, ...spec } = row.spec;
        await entry.putRow(JOB, { ...spec, kind: "ended", ...end });
        entry.state = declare(to, KEYS, 2);
        const answer = await entry.call("GET", `/queue/${JOB}`, then);
        expect(JSON.parse(answer.body ?? "{}")).to.include({
          state: end.state,
        });
        const cancel = await entry.call("DELETE", `/queue/${JOB}`, then);
        expect(cancel.status).to.equal(200);
        expect(entry.readRow(JOB)).to.include({ state: end.state });
      }
    }
  });
});

describe("a refused job whose queue becomes public", () => {
  // Guards against a refusal that counts as a job, or that bars its caller from trying again.
  it("isn't there, and is accepted when it is submitted again", async () => {
    const entry = createEntry(declare(PRIVATE, KEYS));
    await entry.putRefusal(JOB);
    expect((await entry.call("GET", `/queue/${JOB}`, "owner-key")).status)
      .to.equal(410);
    entry.state = declare(PUBLIC, KEYS, 2);
    expect((await entry.call("GET", `/queue/${JOB}`)).status).to.equal(410);
    expect((await entry.call("POST", `/queue/${JOB}`)).status).to.equal(200);
    expect((await entry.call("GET", `/queue/${JOB}`)).status).to.equal(200);
  });
});

describe("a job whose queue has another name or address", () => {
  const RENAMED = [{ name: "renamed", prefix: "/queue/" }];
  const MOVED = [{ name: "queue", prefix: "/moved/" }];

  // Guards against an accepted job that is answered 410 as its queue has another name.
  it("is shown, cancelled and counted as waiting", async () => {
    for (const isPublic of [false, true]) {
      for (
        const [queues, prefix] of [[RENAMED, "/queue/"], [
          MOVED,
          "/moved/",
        ]] as const
      ) {
        const key = isPublic ? undefined : "owner-key";
        const entry = createEntry(declare(PRIVATE, KEYS));
        await entry.call("POST", `/queue/${JOB}`, "owner-key");
        const declared = queues.map((queue) => ({ ...queue, isPublic }));
        entry.state = declare(declared, KEYS, 2);
        expect((await entry.call("GET", prefix, key)).body).to.equal(
          '{"pending":1}',
        );
        expect(await entry.readAndCancel(prefix + JOB, key)).to.deep.equal(
          [200, 200],
        );
        expect((await entry.call("GET", prefix, key)).body).to.equal(
          '{"pending":0}',
        );
      }
    }
  });

  it("is shown to its organisation where its row doesn't say the address", async () => {
    const entry = createEntry(declare(PRIVATE, KEYS));
    await entry.call("POST", `/queue/${JOB}`, "owner-key");
    const row = entry.readRow(JOB);
    if (row?.kind !== "live") throw new Error("not accepted");
    const { addressTag, ...spec } = row.spec;
    expect(addressTag).to.be.a("string");
    await entry.putRow(JOB, { kind: "live", spec });
    entry.state = declare(RENAMED, KEYS, 2);
    expect(await entry.readAndCancel(`/queue/${JOB}`, "other-key")).to.deep
      .equal([410, 410]);
    expect(await entry.readAndCancel(`/queue/${JOB}`, "owner-key")).to.deep
      .equal([200, 200]);
  });

  // Guards against a job that counts as one of every queue of its organisation.
  it("is not reached through another queue of its organisation", async () => {
    const queues = [...PRIVATE, { name: "another" }];
    const entry = createEntry(declare(queues, KEYS));
    await entry.call("POST", `/queue/${JOB}`, "owner-key");
    expect(await entry.readAndCancel(`/another/${JOB}`, "owner-key")).to.deep
      .equal([410, 410]);
    expect(entry.readRow(JOB)).to.include({ kind: "live" });
  });
});
