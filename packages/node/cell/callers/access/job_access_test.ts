/** Tests of who may read and cancel a job, over all combinations of what decides it. */
import type { QueueName } from "@coltsfootpond/policy";
import { expect } from "chai";
import { declare } from "./caller_access_fixtures.ts";
import { decideJobAccess, type JobOrigin } from "./job_access.ts";

const KEYS = { owner: ["owner-key"], other: ["other-key"] };
/** Where the call arrives; the job was submitted to `queue`. */
const QUEUES = [
  { name: "queue", isPublic: false },
  { name: "queue", isPublic: true },
  { name: "another", isPublic: false },
  { name: "another", isPublic: true },
];
const CALLERS = [undefined, "unknown", "owner-key", "other-key"];
const OWNERS = [undefined, "owner", "other"];

describe("access to a job", () => {
  // Guards against a job that its caller can't reach, and against one that others reach. The columns
  // are those of `QUEUES`: private and public queue of the job, private and public other queue.
  it("follows from queue, organisation and key as in the table", () => {
    const rows = OWNERS.flatMap((organisation) =>
      CALLERS.map((key) => {
        const origin = { queue: "queue", organisation } as JobOrigin;
        const cells = QUEUES.map((declared) => {
          const state = declare([declared], KEYS);
          const call = { state, queue: state.queues[0]!, key };
          return decideJobAccess(call, origin).ground;
        });
        return `${organisation ?? "none"}, ${key ?? "no key"}: ${
          cells.join(" | ")
        }`;
      })
    );
    expect(rows).to.deep.equal([
      "none, no key: unknown key | public queue | unknown key | another queue",
      "none, unknown: unknown key | public queue | unknown key | another queue",
      "none, owner-key: the job has no organisation | public queue | another queue | another queue",
      "none, other-key: the job has no organisation | public queue | another queue | another queue",
      "owner, no key: unknown key | public queue | unknown key | another queue",
      "owner, unknown: unknown key | public queue | unknown key | another queue",
      "owner, owner-key: same organisation | public queue | same organisation | same organisation",
      "owner, other-key: another organisation | public queue | another queue | another queue",
      "other, no key: unknown key | public queue | unknown key | another queue",
      "other, unknown: unknown key | public queue | unknown key | another queue",
      "other, owner-key: another organisation | public queue | another queue | another queue",
      "other, other-key: same organisation | public queue | same organisation | same organisation",
    ]);
  });

  it("is granted on its own queue whenever the queue is public", () => {
    const state = declare([{ name: "queue", isPublic: true }], KEYS);
    const queue = state.queues[0]!;
    for (const key of CALLERS) {
      for (const organisation of OWNERS) {
        const origin = { queue: queue.queue, organisation } as JobOrigin;
        expect(decideJobAccess({ state, queue, key }, origin).kind)
          .to.equal("granted");
        const elsewhere = { ...origin, queue: "another" as QueueName };
        expect(decideJobAccess({ state, queue, key: "unknown" }, elsewhere))
          .to.include({ kind: "denied" });
      }
    }
  });
});
