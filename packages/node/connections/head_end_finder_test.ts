import { Buffer } from "node:buffer";
import { expect } from "chai";
import fc from "fast-check";
import { HeadEndFinder } from "./head_end_finder.ts";

/** Offsets in the whole text at which heads end, when it arrives in parts of these lengths. */
function findEnds(text: string, partLengths: readonly number[]) {
  const finder = HeadEndFinder.create();
  const ends: number[] = [];
  let offset = 0;
  const read = (part: string) => {
    let rest = Buffer.from(part, "latin1");
    while (rest.byteLength > 0) {
      const length = finder.find(rest);
      offset += length ?? rest.byteLength;
      if (length !== undefined) ends.push(offset);
      rest = rest.subarray(length ?? rest.byteLength);
    }
  };
  let start = 0;
  for (const length of partLengths) {
    read(text.slice(start, start + length));
    start += length;
  }
  read(text.slice(start));
  return ends;
}

describe("the end of a head", () => {
  it("is a blank line, also one of a bare line feed", () => {
    expect(findEnds("GET / HTTP/1.1\r\n\r\nGET", [])).to.deep.equal([18]);
    expect(findEnds("a\n\nb\n\r\nc\r\n\n", [])).to.deep.equal([3, 7, 11]);
    expect(findEnds("a\r\nb\r\n\rc\n", [])).to.deep.equal([]);
  });

  // Guards against two requests in one part, whose end of the first lies across two parts.
  it("is found however the bytes are divided", () => {
    const text = fc.string({
      unit: fc.constantFrom("a", "\r", "\n"),
      maxLength: 40,
    });
    const lengths = fc.array(fc.integer({ min: 1, max: 4 }), { maxLength: 40 });
    fc.assert(
      fc.property(text, lengths, (bytes, partLengths) => {
        expect(findEnds(bytes, partLengths)).to.deep.equal(findEnds(bytes, []));
      }),
      { seed: 67, numRuns: 2_000 },
    );
  });
});
