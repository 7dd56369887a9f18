import { readFileSync } from "node:fs";
import { ManualClock } from "@coltsfootpond/common";
import { expect } from "chai";
import { CLOSE_CODE, type CloseReason } from "./close_reasons.ts";
import { CloseReports } from "./close_reports.ts";

describe("reports of closed connections", () => {
  // Guards against a crowd that fills the log.
  it("are one when a limit is met and one when it no longer is", async () => {
    const clock = ManualClock.create();
    const lines: unknown[] = [];
    const counted: CloseReason[] = [];
    const reports = CloseReports.create({
      clock,
      count: (reason) => counted.push(reason),
      onMet: ({ reason, connections }) =>
        lines.push(["met", reason, connections]),
      onOver: ({ reason, code, connections, lastedMs }) =>
        lines.push(["over", reason, code, connections, lastedMs]),
    });
    for (let connection = 0; connection < 1_000; connection++) {
      reports.note("connection_limit");
      await clock.advance(25);
    }
    reports.note("body_limit");
    reports.note("idle");
    expect(lines).to.deep.equal([
      ["met", "connection_limit", 1],
      ["met", "body_limit", 1],
    ]);
    await clock.advance(40_000);
    expect(lines.slice(2)).to.deep.equal([
      ["over", "connection_limit", 3101, 1_000, 24_975],
      ["over", "body_limit", 3103, 1, 0],
    ]);
    reports.note("body_limit");
    expect(lines.at(-1)).to.deep.equal(["met", "body_limit", 1]);
    expect(counted.length).to.equal(1_003);
  });

  it("have the codes of docs/ERRORS.md", () => {
    const page = readFileSync("docs/ERRORS.md", "utf8");
    const rows = [...page.matchAll(/^\| (31\d\d) \| `([a-z_]+)`/gm)];
    expect(rows.map(([, code, reason]) => [reason, Number(code)])).to.deep
      .equal(Object.entries(CLOSE_CODE));
  });
});
