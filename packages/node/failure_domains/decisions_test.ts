/** Property tests of merging the records of a failure domain. */
import { expect } from "chai";
import fc from "fast-check";
import {
  decideDurableRow,
  decideOut,
  type FailureDomainRecord,
  mergeRecords,
} from "./decisions.ts";

const RECORD: fc.Arbitrary<FailureDomainRecord> = fc.oneof(
  fc.record({
    state: fc.constant("in" as const),
    version: fc.nat(3),
    provisional: fc.constant(false),
  }),
  fc.record({
    state: fc.constant("out" as const),
    version: fc.nat(3),
    provisional: fc.boolean(),
  }),
);

describe("failure domain records", () => {
  it("merge to the same record in any order and with any repeats", () => {
    fc.assert(
      fc.property(
        fc.array(RECORD, { minLength: 1, maxLength: 6 }),
        fc.array(fc.nat(5), { maxLength: 6 }),
        (records, repeats) => {
          const again = repeats.map((index) => records[index % records.length]);
          const received = [...records, ...again].filter((record) =>
            record !== undefined
          );
          const forward = received.reduce(mergeRecords);
          const backward = [...received].reverse().reduce(mergeRecords);
          expect(forward).to.eql(backward);
          const highest = Math.max(...records.map(({ version }) => version));
          const atTop = records.filter(({ version }) => version === highest);
          const isOut = atTop.some(({ state }) => state === "out");
          expect(forward.state).to.equal(isOut ? "out" : "in");
        },
      ),
      { seed: 1, numRuns: 2_000 },
    );
  });

  it("are written with a version above the stored row's", () => {
    fc.assert(
      fc.property(RECORD, RECORD, (known, row) => {
        const record = mergeRecords(decideOut(known), {
          ...row,
          provisional: false,
        });
        const written = decideDurableRow(record, row);
        if (written === undefined) return;
        expect(written.state).to.equal("out");
        expect(written.version).to.be.greaterThan(row.version);
      }),
      { seed: 1, numRuns: 2_000 },
    );
  });
});
