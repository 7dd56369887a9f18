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
