/** Tests that the capacity page matches the measured slopes, and of the functions that compute it. */
import { expect } from "chai";
import fc from "fast-check";
import { existsSync, readFileSync } from "node:fs";
import { PRESENT_DESIGN, TARGET_SIZE } from "./design.ts";
import { createCosts, findLineClosestToLimit, sumUsage } from "./evaluate.ts";
import { fitLine, median } from "./fit.ts";
import { computeEntryUsage } from "./usage.ts";
import {
  fillPage,
  formatRoundedUp,
  formatTable,
  listTableNames,
} from "./markdown.ts";
import { createTables, PAGE_PATH } from "./page.ts";
import { readReport } from "./report.ts";
import type { CapacityReport } from "./types.ts";

function getReport(): CapacityReport {
  const report = readReport();
  if (report === undefined) {
    throw new Error("docs/capacity/slopes.json is not committed");
  }
  return report;
}

describe("capacity page", () => {
  it("agrees with the measured slopes (else: npm run capacity:page)", () => {
    const page = readFileSync(PAGE_PATH, "utf8");
    const tables = createTables(getReport());
    expect(page).to.equal(fillPage(page, tables));
    expect([...listTableNames(page)].sort())
      .to.deep.equal(Object.keys(tables).sort());
  });

  it("names files that exist and adds up line by line", () => {
    const lines = computeEntryUsage(
      createCosts(getReport()),
      PRESENT_DESIGN,
      TARGET_SIZE,
    );
    const missing = lines.map((line) => line.file)
      .filter((file) => !existsSync(file));
    expect(missing).to.deep.equal([]);
    const sum = sumUsage(lines);
    let bytes = 0;
    for (const line of lines) bytes += line.bytesPerSecond;
    expect(sum.bytesPerSecond).to.equal(bytes);
    expect(lines).to.include(findLineClosestToLimit(lines));
  });

  it("fits the line through points of a line", () => {
    const coefficient = fc.integer({ min: -1_000, max: 1_000 });
    fc.assert(
      fc.property(coefficient, coefficient, (slope, intercept) => {
        const sizes = [1, 2, 4, 8];
        const fit = fitLine(sizes, sizes.map((x) => intercept + slope * x));
        expect(fit.slope).to.be.closeTo(slope, 1e-6);
        expect(fit.intercept).to.be.closeTo(intercept, 1e-6);
        expect(fit.residualShare).to.be.closeTo(0, 1e-9);
      }),
      { seed: 7 },
    );
    const uneven = fitLine([0, 1, 2, 3], [0, 2, 0, 2]);
    expect(uneven.slope).to.be.closeTo(0.4, 1e-9);
    expect(uneven.residualShare).to.be.closeTo(Math.sqrt(0.8) / 2, 1e-9);
    expect([median([3, 1, 2]), median([4, 1, 2, 3])])
      .to.deep.equal([2, 2.5]);
  });

  it("rounds up and fills only between the markers", () => {
    expect([
      formatRoundedUp(1.001, 0),
      formatRoundedUp(2, 0),
      formatRoundedUp(1234.5, 1),
      formatRoundedUp(0, 0),
    ])
      .to.deep.equal(["2", "2", "1,234.5", "0"]);
    const page = "a\n<!-- table: x -->\nold\n<!-- end of table -->\nb";
    const table = formatTable(["k", "value"], [["1", "2"]]);
    expect(fillPage(page, { x: table })).to.equal(
      "a\n<!-- table: x -->\n\n| k   | value |\n| --- | ----- |\n" +
        "| 1   | 2     |\n\n<!-- end of table -->\nb",
    );
    expect(() => fillPage(page, {})).to.throw("no table x");
  });
});
