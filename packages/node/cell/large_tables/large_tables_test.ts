import { ManualClock, SeededRandom } from "@coltsfootpond/common";
import type { StateRow } from "@coltsfootpond/ports";
import { expect } from "chai";
import { Subject } from "rxjs";
import { SILENT_LOG } from "../log.ts";
import { PeerRowsPoller } from "../peer_rows_poller.ts";
import { SeenVersion, TableFollower } from "../table_follower.ts";
import { createStoreFake } from "../test_fixtures.ts";

/** More than the arguments of one call. */
const ROWS = 200_000;

const rows: readonly StateRow[] = Array.from({ length: ROWS }, (_, number) => ({
  key: `row-${number}`,
  version: number + 1,
  value: new Uint8Array(0),
}));

/** A follower of a store with no rows at first, whose feed then returns all of them. */
function createFollower(clock: ManualClock) {
  let polls = 0;
  return TableFollower.create({
    table: "operators",
    store: {
      ...createStoreFake(),
      read: () => Promise.resolve({ kind: "rows", rows: [], version: 0 }),
      follow: () =>
        polls++ > 0
          ? new Promise(() => {})
          : Promise.resolve({ kind: "rows", rows, version: ROWS }),
    },
    clock,
    random: SeededRandom.create(1),
    seen: SeenVersion.create(),
    log: SILENT_LOG,
  });
}

// Guards against a RangeError that ends the loop which keeps the copy of a table up to date.
describe("a table of more rows than a call can have arguments", () => {
  it("is followed", async () => {
    const clock = ManualClock.create();
    const follower = createFollower(clock);
    void follower.run();
    await clock.advance(100);
    expect(follower.version).to.equal(ROWS);
    expect([...follower.rows()]).to.have.length(ROWS);
  });

  it("is compared with a peer's copy", async () => {
    const clock = ManualClock.create();
    const follower = createFollower(clock);
    void follower.run();
    await clock.advance(100);
    follower.apply(rows);
    const asked: number[] = [];
    const directLosses = new Subject<void>();
    const poller = PeerRowsPoller.create({
      relay: {
        isDirectDown: true,
        directLosses,
        fetchOperatorRows: (afterVersion) => {
          asked.push(afterVersion);
          return Promise.resolve({ rows: [] });
        },
      },
      follower,
      clock,
      log: SILENT_LOG,
    });
    directLosses.next();
    await clock.advance(600);
    poller.stop();
    expect(asked).to.deep.equal([ROWS]);
  });
});
