/** Tests of who may read and cancel a job, over all combinations of what decides it. */
import type { JobOrigin } from "@coltsfootpond/policy";
import { expect } from "chai";
import { declare } from "./caller_access_fixtures.ts";
import { decideJobAccess } from "./job_access.ts";
import {
  computeAddressTag,
  computeKeyTag,
} from "../../job_origins/origin_tags.ts";

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
/** Where the call arrives; the job was submitted to the first one, or the second. */
const QUEUES = [
  { name: "queue", isPublic: false },
  { name: "queue", isPublic: true },
  { name: "renamed", prefix: "/queue/", isPublic: false },
  { name: "renamed", prefix: "/queue/", isPublic: true },
  { name: "queue", prefix: "/moved/", isPublic: false },
  { name: "queue", prefix: "/moved/", isPublic: true },
  { name: "another", isPublic: false },
  { name: "another", isPublic: true },
] as const;
const ADDRESS_TAG = computeAddressTag(declare([QUEUES[0]], {}).queues[0]!);

/** Rows of earlier versions don't say at which address the job was submitted. */
const ADDRESSES: readonly Partial<JobOrigin>[] = [
  {},
  { addressTag: ADDRESS_TAG },
];
interface Combination {
  readonly declared: string;
  readonly row: string;
  readonly address: Partial<JobOrigin>;
  readonly key: string | undefined;
  readonly queue: (typeof QUEUES)[number];
}

const COMBINATIONS: readonly Combination[] = Object.keys(DECLARED).flatMap(
  (declared) =>
    Object.keys(ROWS).flatMap((row) =>
      ADDRESSES.flatMap((address) =>
        CALLERS.flatMap((key) =>
          QUEUES.map((queue) => ({ declared, row, address, key, queue }))
        )
      )
    ),
);

function decide({ declared, row, address, key, queue }: Combination) {
  const keys = DECLARED[declared as keyof typeof DECLARED];
  const state = declare([queue], keys);
  const call = { state, queue: state.queues[0]!, key };
  const origin = { queue: "queue", ...ROWS[row], ...address } as JobOrigin;
  return decideJobAccess(call, origin);
}

/** Whether the row shows that the job was submitted to the queue, under whatever name. */
function isSameQueue({ queue, address }: Combination): boolean {
  return queue.name === "queue" ||
    queue.name === "renamed" && address.addressTag !== undefined;
}

const isKnownKey = ({ declared, key }: Combination) =>
  Object.values(DECLARED[declared as keyof typeof DECLARED])
    .some((keys: readonly string[]) => keys.includes(key ?? ""));

describe("access to a job", () => {
  // Guards against a job that its caller can't reach, and against one that others reach.
  it("on a queue that asks for a key follows from organisation and key", () => {
    const queue = QUEUES[0];
    const table = Object.keys(DECLARED).flatMap((declared) =>
      Object.keys(ROWS).map((row) => {
        const kinds = CALLERS.map((key) => {
          const combination = { declared, row, key, queue };
          return ADDRESSES.map((address) =>
            decide({ ...combination, address }).kind
          );
        });
        kinds.forEach((both) => expect(new Set(both).size).to.equal(1));
        return `${declared}, ${row}: ${kinds.map(([kind]) => kind).join(" ")}`;
      })
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

  it("is the same after the queue has got another name or address", () => {
    for (const combination of COMBINATIONS) {
      if (!isSameQueue(combination) || combination.queue.isPublic) continue;
      expect(decide(combination), JSON.stringify(combination)).to.deep.equal(
        decide({ ...combination, queue: QUEUES[0] }),
      );
    }
  });

  // Guards against an accepted job that is answered 410 once its queue is public (review/11).
  it("on its own public queue is granted to everyone", () => {
    for (const combination of COMBINATIONS) {
      if (!isSameQueue(combination) || !combination.queue.isPublic) continue;
      expect(decide(combination), JSON.stringify(combination)).to.deep.equal({
        kind: "granted",
        ground: "public queue",
      });
    }
  });

  // Guards against a public queue that opens the jobs of all others.
  it("is granted through no other queue, public or not", () => {
    for (const combination of COMBINATIONS) {
      if (isSameQueue(combination)) continue;
      const { kind, ground } = decide(combination);
      const { key, queue, row, address, declared } = combination;
      const isOwnKey = ["old", "new"].includes(key ?? "") &&
        ["unchanged", "key rotated", "key moved"].includes(declared) &&
        !(declared === "key moved" && key === "old");
      // The row doesn't tell whether this is the job's queue under another name.
      const mayBeRenamed = address.addressTag === undefined &&
        row !== "no key" && isOwnKey && isKnownKey(combination);
      const hint = JSON.stringify(combination);
      if (mayBeRenamed) {
        expect([kind, ground], hint).to.deep.equal(
          ["granted", "same organisation"],
        );
        continue;
      }
      expect([kind, ground], hint).to.deep.equal([
        "denied",
        queue.isPublic || isKnownKey(combination)
          ? "another queue"
          : "unknown key",
      ]);
    }
  });

  it("without a known key is never granted where the queue asks for one", () => {
    for (const combination of COMBINATIONS) {
      if (combination.queue.isPublic || isKnownKey(combination)) continue;
      expect(decide(combination)).to.deep.equal({
        kind: "denied",
        ground: "unknown key",
      });
    }
  });

  // Guards against a public queue that gets the name of a private one, and with it its jobs.
  it("is not open while one of two queues that may be the job's is private", () => {
    const origin = { queue: "queue", addressTag: ADDRESS_TAG, ...OWNER };
    for (const isPublic of [false, true]) {
      const state = declare([
        { name: "queue", prefix: "/moved/", isPublic: true },
        { name: "other", prefix: "/queue/", isPublic },
      ], DECLARED.unchanged);
      const kinds = [undefined, "unknown", "other", "new", "old"].map((key) =>
        decideJobAccess(
          { state, queue: state.queues[0]!, key },
          origin as JobOrigin,
        ).kind
      );
      expect(kinds.slice(0, 3)).to.deep.equal(
        Array(3).fill(isPublic ? "granted" : "denied"),
      );
      expect(kinds.slice(3)).to.deep.equal(["granted", "granted"]);
    }
  });
});
