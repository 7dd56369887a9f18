import process from "node:process";
import { expect } from "chai";
import { configureLog, logEvent } from "./log.ts";

/** The lines that `act` writes to standard error. */
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
  });
});
