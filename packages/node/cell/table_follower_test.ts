import { ManualClock, SeededRandom } from "@coltsfootpond/common";
import type { FollowOutcome, StateRow } from "@coltsfootpond/ports";
import { expect } from "chai";
import { SILENT_LOG } from "./log.ts";
import { SeenVersion, TableFollower } from "./table_follower.ts";
import { createStoreFake } from "./test_fixtures.ts";

/** Version of the store at every read but the first. */
const LATER_VERSION = 100;

function row(key: string, version: number): StateRow {
  return { key, version, value: new Uint8Array([version]) };
}

/** A follower of a store whose feed returns the given answers and then waits. */
function createFollower(
  reads: readonly (readonly StateRow[])[],
  answers: readonly ((afterVersion: number) => FollowOutcome)[],
) {
  const clock = ManualClock.create();
  let readCount = 0;
  let followCount = 0;
  const follower = TableFollower.create({
    table: "state",
    store: {
      ...createStoreFake(),
      read: () => {
        const rows = reads[Math.min(readCount, reads.length - 1)]!;
        const newest = Math.max(0, ...rows.map((one) => one.version));
        const version = readCount++ === 0 ? newest : LATER_VERSION;
        return Promise.resolve({ kind: "rows", rows, version });
      },
      follow: (_table, afterVersion) => {
        const answer = answers[followCount++];
        return answer === undefined
          ? new Promise(() => {})
          : Promise.resolve(answer(afterVersion));
      },
    },
    clock,
    random: SeededRandom.create(1),
    seen: SeenVersion.create(),
    log: SILENT_LOG,
  });
  void follower.run();
  return { follower, clock };
}

describe("table follower", () => {
  // Guards against an accepted job that the lease holder never sees: its row was written to a group
  // that had been read, before another group with a newer row was read.
  it("follows from the version of a read, not from that of its newest row", async () => {
    const clock = ManualClock.create();
    const asked: number[] = [];
    const follower = TableFollower.create({
      table: "state",
      store: {
        ...createStoreFake(),
        read: () =>
          Promise.resolve({
            kind: "rows",
            rows: [row("read-later", 10)],
            version: 5,
          }),
        follow: (_table, afterVersion) => {
          asked.push(afterVersion);
          return asked.length > 1 ? new Promise(() => {}) : Promise.resolve({
            kind: "rows",
            rows: [row("missed", 7), row("read-later", 10)],
            version: 10,
          });
        },
      },
      clock,
      random: SeededRandom.create(1),
      seen: SeenVersion.create(),
      log: SILENT_LOG,
    });
    void follower.run();
    await clock.advance(100);
    expect(asked).to.deep.equal([5, 10]);
    expect(follower.get("missed")?.version).to.equal(7);
    expect(follower.get("read-later")?.version).to.equal(10);
  });

  it("does not miss a change that the feed never sent", async () => {
    // The feed never sends the change of version 5; the store then drops its history up to 6.
    const { follower, clock } = createFollower(
      [[row("a", 1)], [row("a", 5)]],
      [
        () => ({ kind: "rows", rows: [], version: 6 }),
        (afterVersion) =>
          afterVersion < 6
            ? { kind: "history_lost" }
            : { kind: "rows", rows: [], version: 7 },
      ],
    );
    await clock.advance(1_000);
    expect(follower.get("a")?.version).to.equal(5);
  });

  it("skips answers that are older than its copy", async () => {
    const { follower, clock } = createFollower([[row("a", 4)]], [
      () => ({ kind: "rows", rows: [row("a", 6)], version: 6 }),
      () => ({ kind: "rows", rows: [row("a", 5)], version: 5 }),
    ]);
    await clock.advance(1_000);
    expect(follower.get("a")?.version).to.equal(6);
  });

  it("removes deleted rows when it reads the whole table again", async () => {
    const { follower, clock } = createFollower(
      [[row("a", 1), row("b", 2)], [row("b", 3)]],
      [() => ({ kind: "history_lost" })],
    );
    await clock.advance(1_000);
    expect([...follower.rows()].map(({ key }) => key)).to.deep.equal(["b"]);
  });

  it("spends at most a quarter of the time on regular reads of a large table", async () => {
    const clock = ManualClock.create();
    const readMs = 600;
    let reads = 0;
    const follower = TableFollower.create({
      table: "operators",
      readPeriodMs: 900,
      store: {
        ...createStoreFake(),
        read: async () => {
          reads++;
          await clock.sleep(readMs);
          return { kind: "rows", rows: [], version: 1 };
        },
        follow: async (_table, _after, longPollMs) => {
          await clock.sleep(longPollMs);
          return { kind: "rows", rows: [], version: 1 };
        },
      },
      clock,
      random: SeededRandom.create(1),
      seen: SeenVersion.create(),
      log: SILENT_LOG,
    });
    void follower.run();
    const totalMs = 24_000;
    for (let nowMs = 0; nowMs < totalMs; nowMs += 100) await clock.advance(100);
    // The first read does not count.
    expect((reads - 1) * readMs).to.be.at.most(totalMs / 4);
    // Often enough that a new version comes into force in time.
    expect(reads).to.be.at.least(totalMs / (5 * readMs + 900));
    follower.stop();
  });

  it("reads the table when a long poll fails", async () => {
    const { follower, clock } = createFollower(
      [[row("a", 1)], [row("a", 5)]],
      [() => ({ kind: "unavailable", effect: "lost", reason: "timeout" })],
    );
    await clock.advance(1_000);
    expect(follower.get("a")?.version).to.equal(5);
  });
});
