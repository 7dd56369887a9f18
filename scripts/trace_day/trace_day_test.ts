import { expect } from "chai";
import { collectJobStages } from "./job_stages.ts";
import { parseLogLine } from "./log_lines.ts";
import { formatDependencies, formatStages, formatStops } from "./tables.ts";

const JOB = "00000000000000aa";
const OUTPUT = [
  "day    own/srv  score",
  ` 1.0000 vm-1 {"event":"lease.acquired","epoch":1}`,
  ` 1.2000 vm-1 {"event":"scheduler.ready"}`,
  ` 2.0000 vm-1 {"event":"job.opened","job":"${JOB}","priority":0,"ageMs":500}`,
  ` 2.2500 vm-1 {"event":"unit.started","unit":"${JOB}.0.0.0","run":1}`,
  ` 3.0000 vm-1 {"event":"unit.evicted","unit":"${JOB}.0.0.0"}`,
  ` 3.0000 vm-1 {"event":"unit.closing","unit":"${JOB}.0.0.0","reason":"evicted"}`,
  ` 4.0000 vm-1 {"event":"unit.started","unit":"${JOB}.0.0.0","run":2}`,
  ` 6.0000 vm-1 {"event":"task.ended","task":"${JOB}.0.0.0","end":"done"}`,
  ` 6.1000 vm-1 {"event":"job.ended","job":"${JOB}"}`,
  ` 7.0000 vm-2 {"event":"job.opened","job":"${JOB}","priority":0,"ageMs":5500}`,
  ` 7.5000 vm-2 {"event":"cut off`,
];

describe("trace of a day", () => {
  const lines = OUTPUT.flatMap((text) => parseLogLine(text) ?? []);

  it("reads log lines with and without the replay's prefix, and skips other output", () => {
    expect(lines).to.have.length(10);
    expect(lines[0]).to.deep.include({ atS: 1, vm: "vm-1" });
    expect(parseLogLine(`{"time":1500,"event":"entry.started"}`)).to.deep
      .include({ atS: 1.5, vm: "" });
  });

  it("splits a job's time into stages; a later holder that opens it again changes none", () => {
    const [job] = collectJobStages(lines);
    expect(job).to.include({
      priority: 0,
      acceptedS: 1.5,
      toOpenS: 0.5,
      toStartS: 0.25,
      runS: 3.75,
      evictions: 1,
    });
    expect(job?.toStoredS).to.be.closeTo(0.1, 1e-9);
  });

  it("prints the stages, the reasons of ended runs, and the changes of the holder", () => {
    const jobs = collectJobStages(lines);
    expect(formatStages(jobs).split("\n")[2]).to.equal(
      "0\ttoStartS\t1\t0.25\t0.25\t0.25\t0.25\t0.25",
    );
    expect(formatStops(jobs, lines)).to.equal(
      "priority 0: 1 evictions of 1 jobs\n1\tevicted",
    );
    expect(formatDependencies(lines)).to.equal(
      "1\tlease.acquired\t1\n1\tscheduler.ready\t1",
    );
  });
});
