import { ManualClock } from "@coltsfootpond/common";
import { expect } from "chai";
import { runCli } from "../cli.ts";
import { EXIT_CODE } from "../exit_codes.ts";

const JOB = "00000000000000aa";
const LOGS: Readonly<Record<string, readonly object[]>> = {
  "one.log": [
    { level: 30, time: 100, event: "lease.acquired", epoch: 1 },
    { level: 30, time: 5_010, event: "job.opened", job: JOB, priority: 0 },
    { level: 30, time: 5_020, event: "unit.started", unit: `${JOB}.0.0.0` },
    { level: 40, time: 6_000, event: "lease.lost", epoch: 1 },
    { level: 30, time: 5_030, event: "job.opened", job: "other" },
  ],
  "two.log": [
    {
      level: 30,
      time: 5_000,
      event: "call.answered",
      path: `/q/${JOB}`,
      status: 200,
    },
    { level: 30, time: 6_100, event: "lease.acquired", epoch: 2 },
    { level: 40, time: 6_200, event: "task.gone", task: `${JOB}.0.0.0` },
    { level: 30, time: 60_000, event: "lease.acquired", epoch: 3 },
  ],
};

async function explain(job: string) {
  const output: string[] = [];
  const errors: string[] = [];
  const exitCode = await runCli(["explain", job, ...Object.keys(LOGS)], {
    clock: ManualClock.create(),
    variables: {},
    print: (line) => output.push(line),
    printError: (line) => errors.push(line),
    readFile: (path) => {
      const lines = LOGS[path]!.map((line) => JSON.stringify(line));
      return Promise.resolve(
        new TextEncoder().encode([...lines, '{"time":1,"ev'].join("\n")),
      );
    },
    readDeclarations: () => Promise.resolve([]),
  });
  return { exitCode, output, errors };
}

describe("explain", () => {
  it("prints a job's history over all logs, with the changes of lease holder around it", async () => {
    const { exitCode, output } = await explain(JOB);
    expect(exitCode).to.equal(EXIT_CODE.OK);
    expect(output.map((line) => line.trim().split(/ {2,}/).slice(0, 3)))
      .to.deep.equal([
        ["0 ms", "two.log", "call.answered"],
        ["10 ms", "one.log", "job.opened"],
        ["20 ms", "one.log", "unit.started"],
        ["1000 ms", "one.log", "lease.lost"],
        ["1100 ms", "two.log", "lease.acquired"],
        ["1200 ms", "two.log", "task.gone"],
      ]);
  });

  it("fails when no line is about the job", async () => {
    const { exitCode, errors } = await explain("ffffffffffffffff");
    expect(exitCode).to.equal(EXIT_CODE.FAILED);
    expect(errors).to.have.length(1);
  });
});
