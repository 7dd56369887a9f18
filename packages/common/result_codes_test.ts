import { readFileSync } from "node:fs";
import { expect } from "chai";
import { RESULT, RESULT_CLASS } from "./result_codes.ts";

const ROW_PATTERN =
  /^\|\s*(\d{4})\s*\|\s*`([A-Z_]+)`\s*\|\s*`([a-z_]+)`\s*\|\s*(\d{3})\s*\|\s*(.+?)\s*\|$/gm;

describe("result codes", () => {
  it("equal the table of docs/ERRORS.md", () => {
    const text = readFileSync("docs/ERRORS.md", "utf8");
    const documented = [...text.matchAll(ROW_PATTERN)]
      .map(([, code, name, resultClass, httpStatus, title]) => ({
        name,
        code: Number(code),
        class: resultClass,
        httpStatus: Number(httpStatus),
        title,
      }));
    const source = Object.entries(RESULT)
      .map(([name, row]) => ({ name, ...row }));
    expect(documented).to.deep.equal(source);
  });

  it("have unique numbers in ascending order", () => {
    const codes = Object.values(RESULT).map((row) => row.code);
    expect(codes).to.deep.equal(
      [...new Set(codes)].sort((left, right) => left - right),
    );
  });

  it("have a known class, and only answered ones a status below 400", () => {
    for (const [name, row] of Object.entries(RESULT)) {
      expect(Object.values(RESULT_CLASS), name).to.include(row.class);
      if (row.httpStatus < 400) {
        expect(row.class, name).to.equal(RESULT_CLASS.ANSWERED);
      }
    }
  });
});
