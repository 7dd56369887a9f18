/** Property tests of merging what is heard of a failure domain. */
import { expect } from "chai";
import fc from "fast-check";
import {
  decideDurableRow,
  decideOut,
  type FailureDomainRecord,
  mergeRecords,
} from "./decisions.ts";

const FACT: fc.Arbitrary<FailureDomainRecord> = fc.oneof(
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

describe("facts on failure domains", () => {
  it("stand the same in whatever order and however often they are heard", () => {
    fc.assert(
      fc.property(
        fc.array(FACT, { minLength: 1, maxLength: 6 }),
        fc.array(fc.nat(5), { maxLength: 6 }),
        (facts, repeats) => {
          const again = repeats.map((index) => facts[index % facts.length]);
          const heard = [...facts, ...again].filter((fact) =>
            fact !== undefined
          );
          const forward = heard.reduce(mergeRecords);
          const backward = [...heard].reverse().reduce(mergeRecords);
          expect(forward).to.eql(backward);
          const highest = Math.max(...facts.map(({ version }) => version));
          const atTop = facts.filter(({ version }) => version === highest);
          const isOut = atTop.some(({ state }) => state === "out");
          expect(forward.state).to.equal(isOut ? "out" : "in");
        },
      ),
      { seed: 1, numRuns: 2_000 },
    );
  });

  it("are written above whatever stands in the row", () => {
    fc.assert(
      fc.property(FACT, FACT, (known, row) => {
        const fact = mergeRecords(decideOut(known), {
          ...row,
          provisional: false,
        });
        const written = decideDurableRow(fact, row);
        if (written === undefined) return;
        expect(written.state).to.equal("out");
        expect(written.version).to.be.greaterThan(row.version);
      }),
      { seed: 1, numRuns: 2_000 },
    );
  });
});
