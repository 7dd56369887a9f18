import { ManualClock } from "@coltsfootpond/common";
import { expect } from "chai";
import type { LogFields } from "../log.ts";
import { createFollower, createStoreFake } from "../test_fixtures.ts";
import {
  LINE_PERIOD_MS,
  MAXIMUM_KEYS,
  MAXIMUM_LINES_PER_PERIOD,
  UnreadableRows,
} from "./unreadable_rows.ts";

function createRows() {
  const clock = ManualClock.create();
  const lines: (LogFields | undefined)[] = [];
  const log = {
    info: () => {},
    warn: (_event: string, fields?: LogFields) => void lines.push(fields),
  };
  return { clock, lines, rows: UnreadableRows.create({ clock, log }) };
}

function row(key: string, version: number) {
  return { key, version, value: new Uint8Array() };
}

describe("unreadable rows", () => {
  it("are logged once per key and version, however often they are read", () => {
    const { rows, lines } = createRows();
    for (const version of [1, 1, 2, 2]) rows.report("job", row("a", version));
    rows.report("peer", row("b", 2));
    expect(lines).to.deep.equal([
      { key: "a", kind: "job", version: 1 },
      { key: "a", kind: "job", version: 2 },
      { key: "b", kind: "peer", version: 2 },
    ]);
    expect(rows.count).to.equal(2);
    rows.forget("a");
    expect(rows.count).to.equal(1);
  });

  // Guards against memory and logs that grow with a writer of a new key every moment.
  it("are logged and remembered in bounded number", async () => {
    const { rows, lines, clock } = createRows();
    const keys = 2 * MAXIMUM_KEYS;
    for (let number = 0; number < keys; number++) {
      rows.report("job", row(`a${number}`, number));
    }
    expect(rows.count).to.equal(MAXIMUM_KEYS);
    expect(lines).to.have.lengthOf(MAXIMUM_LINES_PER_PERIOD);
    await clock.advance(LINE_PERIOD_MS);
    rows.report("job", row("b", keys));
    expect(lines.at(-1)).to.include({
      key: "b",
      omittedLines: keys - MAXIMUM_LINES_PER_PERIOD,
    });
  });

  it("are counted no more once they change or go", async () => {
    const store = createStoreFake();
    const follower = createFollower(store, ManualClock.create());
    const key = "lease/holder";
    await store.transact(
      { conditions: [], puts: [row(key, 0)], deletes: [] },
      1,
    );
    await follower.reload(0);
    follower.unreadable.report("lease", follower.get(key)!);
    expect(follower.unreadable.count).to.equal(1);
    await store.transact({ conditions: [], puts: [], deletes: [key] }, 1);
    await follower.reload(0);
    expect(follower.unreadable.count).to.equal(0);
  });
});
