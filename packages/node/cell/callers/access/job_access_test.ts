/** Tests of who may read and cancel a job, over all combinations of what decides it. */
import type { JobOrigin } from "@coltsfootpond/policy";
import { expect } from "chai";
import { declare } from "./caller_access_fixtures.ts";
import { decideJobAccess } from "./job_access.ts";
import { computeKeyTag } from "./key_tags.ts";

/** Keys of each organisation now; the job was submitted with `old` by the organisation `owner`. */
const DECLARED = {
  "unchanged": { owner: ["old", "new"], other: ["other"] },
  "key rotated": { owner: ["new"], other: ["other"] },
  "key moved": { owner: ["new"], other: ["other", "old"] },
  "renamed": { heir: ["old", "new"], other: ["other"] },
  "without keys": { owner: [], heir: ["new"], other: ["other"] },
  "removed": { heir: ["new"], other: ["other"] },
} as const;
const CALLERS = [undefined, "unknown", "old", "new", "other"] as const;
const OWNER = { organisation: "owner" as JobOrigin["organisation"] };
/** What the row says of the call by which the job was submitted. */
const ROWS: Readonly<Record<string, Partial<JobOrigin>>> = {
  "no key": { organisation: undefined },
  "key": OWNER,
  "key and tag": { ...OWNER, keyTag: computeKeyTag("old") },
};
/** Where the call arrives; the job was submitted to `queue`. */
const QUEUES = [
  { name: "queue", isPublic: false },
  { name: "queue", isPublic: true },
  { name: "another", isPublic: false },
  { name: "another", isPublic: true },
] as const;

type Combination = readonly [
  declared: keyof typeof DECLARED,
  row: string,
  caller: (typeof CALLERS)[number],
  queue: (typeof QUEUES)[number],
];

const COMBINATIONS: readonly Combination[] = Object.keys(DECLARED).flatMap(
  (declared) =>
    Object.keys(ROWS).flatMap((row) =>
      CALLERS.flatMap((caller) =>
        QUEUES.map((queue) =>
          [
            declared as keyof typeof DECLARED,
            row,
            caller,
            queue,
          ] as const
        )
      )
    ),
);

function decide([declared, row, key, queue]: Combination) {
  const state = declare([queue], DECLARED[declared]);
  const call = { state, queue: state.queues[0]!, key };
  const origin = { queue: "queue", ...ROWS[row] } as JobOrigin;
  return decideJobAccess(call, origin);
}

describe("access to a job", () => {
  // Guards against a job that its caller can't reach, and against one that others reach.
  it("on a queue that asks for a key follows from organisation and key", () => {
    const table = Object.keys(DECLARED).flatMap((declared) =>
      Object.keys(ROWS).map((row) =>
        `${declared}, ${row}: ${
          CALLERS.map((caller) =>
            decide(
              [declared as keyof typeof DECLARED, row, caller, QUEUES[0]],
            ).kind
          ).join(" ")
        }`
      )
    );
    // Callers: no key, an unknown key, the key of the submission, a new key of the owner or of its
    // heir, the key of another organisation.
    expect(table).to.deep.equal([
      "unchanged, no key: denied denied granted granted granted",
      "unchanged, key: denied denied granted granted denied",
      "unchanged, key and tag: denied denied granted granted denied",
      "key rotated, no key: denied denied denied granted granted",
      "key rotated, key: denied denied denied granted denied",
      "key rotated, key and tag: denied denied denied granted denied",
      "key moved, no key: denied denied granted granted granted",
      "key moved, key: denied denied denied granted denied",
      "key moved, key and tag: denied denied granted granted denied",
      "renamed, no key: denied denied granted granted granted",
      "renamed, key: denied denied undecided undecided undecided",
      "renamed, key and tag: denied denied granted granted denied",
      "without keys, no key: denied denied denied granted granted",
      "without keys, key: denied denied denied denied denied",
      "without keys, key and tag: denied denied denied denied denied",
      "removed, no key: denied denied denied granted granted",
      "removed, key: denied denied denied undecided undecided",
      "removed, key and tag: denied denied denied undecided undecided",
    ]);
  });

  it("on its own public queue is granted to everyone", () => {
    const decisions = COMBINATIONS
      .filter(([, , , queue]) => queue === QUEUES[1])
      .map((combination) => decide(combination));
    expect(decisions.length).to.equal(6 * 3 * 5);
    for (const { kind, ground } of decisions) {
      expect([kind, ground]).to.deep.equal(["granted", "public queue"]);
    }
  });

  // Guards against a public queue that opens the jobs of all others.
  it("through another queue is granted to nobody but its owner, public or not", () => {
    for (const combination of COMBINATIONS) {
      const [declared, row, caller, queue] = combination;
      if (queue.name !== "another") continue;
      const { kind } = decide(combination);
      const own = decide([declared, row, caller, QUEUES[0]]);
      const isOwner = row !== "no key" && own.kind === "granted" &&
        own.ground !== "renamed organisation";
      expect(kind, JSON.stringify(combination))
        .to.equal(isOwner ? "granted" : "denied");
    }
  });

  it("without a known key is never granted where the queue asks for one", () => {
    for (const combination of COMBINATIONS) {
      const [, , caller, queue] = combination;
      if (queue.isPublic) continue;
      if (caller !== undefined && caller !== "unknown") continue;
      expect(decide(combination)).to.deep.equal({
        kind: "denied",
        ground: "unknown key",
      });
    }
  });
});
