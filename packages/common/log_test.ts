/** Tests of the log's lines. */
import { expect } from "chai";
import createDebug from "debug";
import process from "node:process";
import type { TimelineEvent } from "./events.ts";
import { configureLog, logEvent } from "./log.ts";

describe("log", () => {
  it("writes one JSON object a line for the areas that are enabled", () => {
    const event: TimelineEvent = {
      sequence: 3,
      atMs: 12.5,
      process: "entry-1",
      incarnation: "a",
      event: "ownership.gained",
      subject: { failureDomain: "100%s", epoch: 2 },
    };
    const lines: string[] = [];
    const { write } = process.stderr;
    process.stderr.write = ((line: string) => lines.push(line)) as never;
    try {
      configureLog("coltsfootpond:ownership");
      logEvent(event);
      logEvent({ ...event, event: "domain.out" });
    } finally {
      process.stderr.write = write;
      createDebug.disable();
    }
    expect(lines.map((line) => JSON.parse(line))).to.eql([event]);
  });
});
