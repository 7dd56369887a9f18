import { ManualClock } from "@coltsfootpond/common";
import { expect } from "chai";
import type { LogFields } from "../log.ts";
import { type RecordProblem, UnusableRecords } from "./unusable_records.ts";

const PROBLEM: RecordProblem = { field: "address", expected: "an address" };
const MINUTE_MS = 60_000;

function createRecords() {
  const clock = ManualClock.create();
  const lines: (readonly [string, unknown])[] = [];
  const write = (event: string, fields: LogFields = {}) =>
    void lines.push([event, fields.key ?? fields.records]);
  const records = UnusableRecords.create({
    clock,
    log: { info: write, warn: write },
  });
  const read = (unusable: readonly string[], usable: readonly string[] = []) =>
    records.update(
      new Map(unusable.map((key) => [key, PROBLEM])),
      new Set(usable),
    );
  return { clock, lines, records, read };
}

describe("records that are ignored", () => {
  it("are logged once, and when they are usable again", () => {
    const { lines, read } = createRecords();
    read(["a", "b"]);
    read(["a", "b"]);
    read(["b"], ["a"]);
    read([], ["a"]);
    expect(lines).to.deep.equal([
      ["worker.record_ignored", "a"],
      ["worker.record_ignored", "b"],
      ["worker.record_usable", "a"],
    ]);
  });

  it("are logged again for another field", () => {
    const { lines, records, read } = createRecords();
    read(["a"]);
    records.update(new Map([["a", { ...PROBLEM, field: "seq" }]]), new Set());
    expect(lines).to.have.length(2);
  });

  // Guards against a log and a memory that grow with what another writer stores.
  it("are logged in a bounded number of lines, and all are counted", async () => {
    const { clock, lines, records, read } = createRecords();
    const keys = Array.from({ length: 10_000 }, (_, number) => `k${number}`);
    read(keys);
    expect(records.count).to.equal(keys.length);
    expect(lines).to.have.length(100);
    await clock.advance(MINUTE_MS);
    read(keys);
    expect(lines.slice(100)).to.deep.equal([
      ["workers.records_ignored", keys.length],
    ]);
  });

  it("are logged in a bounded number of lines when each read has another key", async () => {
    const { clock, lines, read } = createRecords();
    for (let number = 0; number < 1_000; number++) {
      read([`k${number}`]);
      await clock.advance(MINUTE_MS / 1_000);
    }
    expect(lines).to.have.length(100);
  });
});
