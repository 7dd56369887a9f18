/** Tests of submissions and cancellations of an id that another caller has used. */
import { createCallerCodec } from "@coltsfootpond/platform";
import type { DeclaredState } from "@coltsfootpond/ports";
import { expect } from "chai";
import { declare, EntryFake } from "./caller_access_fixtures.ts";

const JOB = "00000000000000aa";
const KEYS = { owner: ["owner-key"], other: ["other-key"] };
const QUEUES = [{ name: "queue" }, { name: "open", isPublic: true }];

const createEntry = (state: DeclaredState = declare(QUEUES, KEYS)) =>
  EntryFake.create(createCallerCodec(), state);

describe("the id of another caller's job", () => {
  // Guards against a job that is answered as accepted, and that its caller is then told not to exist.
  it("is not accepted a second time", async () => {
    const entry = createEntry();
    await entry.call("POST", `/queue/${JOB}`, "owner-key");
    for (
      const [path, key] of [
        [`/queue/${JOB}`, "other-key"],
        [`/open/${JOB}`, undefined],
        [`/open/${JOB}`, "owner-key"],
      ] as const
    ) {
      const answer = await entry.call("POST", path, key);
      expect(answer.status, path).to.equal(409);
      expect(JSON.parse(answer.body ?? "")).to.have.property("error");
      expect((await entry.call("GET", path, key)).status).to.equal(410);
    }
  });

  // Guards against a repetition of an accepted job that is refused as another one.
  it("is accepted again from its caller, however the declared state has changed", async () => {
    const again = async (entry: EntryFake, path: string, key?: string) => {
      expect((await entry.call("POST", path, key)).status).to.equal(200);
      expect((await entry.call("GET", path, key)).status).to.equal(200);
    };
    const entry = createEntry();
    await entry.call("POST", `/queue/${JOB}`, "owner-key");
    await again(entry, `/queue/${JOB}`, "owner-key");
    const renamed = { heir: ["owner-key"], other: ["other-key"] };
    entry.state = declare(QUEUES, renamed, 2);
    await again(entry, `/queue/${JOB}`, "owner-key");
    const moved = { name: "another", prefix: "/queue/" };
    entry.state = declare([moved], renamed, 3);
    await again(entry, `/queue/${JOB}`, "owner-key");
    entry.state = declare([{ ...moved, isPublic: true }], renamed, 4);
    await again(entry, `/queue/${JOB}`);
    entry.state = declare(QUEUES, { heir: ["new-key"] }, 5);
    expect((await entry.call("POST", `/queue/${JOB}`, "new-key")).status)
      .to.equal(504);
  });
});

describe("an id that was cancelled before it was submitted", () => {
  // Guards against a job that is answered as accepted and never runs, as another caller has
  // cancelled its id.
  it("is not accepted from another caller", async () => {
    for (
      const [path, key] of [
        [`/queue/${JOB}`, "other-key"],
        [`/open/${JOB}`, undefined],
      ] as const
    ) {
      const entry = createEntry();
      expect((await entry.call("DELETE", path, key)).status).to.equal(410);
      const answer = await entry.call("POST", `/queue/${JOB}`, "owner-key");
      expect(answer.status).to.equal(409);
      expect(entry.readRow(JOB)).to.include({ kind: "barred" });
    }
  });

  // Guards against a cancelled job that runs as its submission arrives later.
  it("does not run when its caller submits it", async () => {
    const entry = createEntry();
    await entry.call("DELETE", `/queue/${JOB}`, "owner-key");
    expect((await entry.call("POST", `/queue/${JOB}`, "owner-key")).status)
      .to.equal(200);
    expect(await entry.readAndCancel(`/queue/${JOB}`, "owner-key")).to.deep
      .equal([410, 410]);
    entry.state = declare([{ name: "queue", isPublic: true }], KEYS, 2);
    expect((await entry.call("POST", `/queue/${JOB}`)).status).to.equal(200);
    expect(entry.readRow(JOB)).to.include({ kind: "barred" });
  });

  it("does not run where its row doesn't say who cancelled it", async () => {
    const entry = createEntry();
    await entry.putRow(JOB, { kind: "barred", endedUnixMs: 0 });
    for (const key of ["owner-key", "other-key"]) {
      expect((await entry.call("POST", `/queue/${JOB}`, key)).status)
        .to.equal(200);
      expect((await entry.call("GET", `/queue/${JOB}`, key)).status)
        .to.equal(410);
    }
  });
});
