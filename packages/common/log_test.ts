<<<<<<< HEAD
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
=======
import process from "node:process";
import { expect } from "chai";
import { configureLog, logEvent } from "./log.ts";

/** What `act` writes to standard error, in lines. */
function captureLines(act: () => void): readonly string[] {
  const written: string[] = [];
  const write = process.stderr.write;
  process.stderr.write = ((text: string) => {
    written.push(text);
    return true;
  }) as typeof process.stderr.write;
  try {
    act();
  } finally {
    process.stderr.write = write;
  }
  return written.join("").split("\n").slice(0, -1);
}

describe("log", () => {
  afterEach(() => configureLog(""));

  it("writes each event of the enabled namespaces as one JSON line", () => {
    const event = (name: string, detail: string) => ({
      sequence: 1,
      atMs: 2.5,
      process: "entry-1",
      incarnation: "i1",
      event: name,
      subject: { requestId: "r1" },
      detail,
    });
    const lines = captureLines(() => {
      configureLog("coltsfootpond:job");
      logEvent(event("job.placed", "100 %s of\nit"));
      logEvent(event("call.began", "not enabled"));
    });
    expect(lines.map((line) => JSON.parse(line) as unknown))
      .to.deep.equal([event("job.placed", "100 %s of\nit")]);
>>>>>>> product
  });
});
