import type { TaskName } from "@coltsfootpond/policy";
import type { EndedTask, RunningTask } from "@coltsfootpond/ports";
import { expect } from "chai";
import { CellSimulation } from "../cell_simulation.ts";
import { createSpec, createStep } from "../test_fixtures.ts";
import { parseTaskName } from "../live_job.ts";

const JOB = "00000000000000aa";
/** Names of no task of a job with one step of two tasks. */
const UNKNOWN_TASKS = [
  `${JOB}.0.0.2`,
  `${JOB}.1.0.0`,
  `${JOB}.0.1.0`,
  `${JOB}.0.0.1e0`,
  `${JOB}.0.0.01`,
  `${JOB}.0.0.0x1`,
  `${JOB}.0.0. 1`,
  `${JOB}.0.0.`,
  `${JOB}.0.0.1e308`,
  `${JOB}.0.0.1.0`,
  `${JOB}.0.__proto__.0`,
  "",
  "...",
  "\u0000",
  "x".repeat(100_000),
];

describe("a worker's report of tasks that no job has", () => {
  // Guards against a job that counts as completed by the end of a task that it does not have, while
  // one of its tasks still runs.
  it("completes no step and ends no run", async () => {
    const simulation = CellSimulation.create(["a"]);
    const { clock } = simulation;
    const worker = simulation.get("a");
    const ended = UNKNOWN_TASKS.map((task, index): EndedTask => ({
      sequence: 2 + index,
      task: task as TaskName,
      run: 1,
      end: "done",
      checkpoint: "",
    }));
    const running = UNKNOWN_TASKS.map((task): RunningTask => ({
      task: task as TaskName,
      run: 1,
      checkpoint: "",
      percent: 1,
    }));
    const renew = worker.renew.bind(worker);
    let isOdd = false;
    worker.renew = (command) => {
      const outcome = renew(command);
      if (outcome.kind !== "report" || !isOdd) return outcome;
      return {
        ...outcome,
        running: [...outcome.running, ...running],
        ended: [...outcome.ended, ...ended],
      };
    };
    simulation.startScheduler();
    const job = createSpec(JOB, { steps: [createStep({ count: 2 })] });
    await simulation.submit(job);
    await clock.advance(1_000);
    expect(worker.running).to.have.length(2);
    worker.end(`${JOB}.0.0.0` as TaskName, "done");
    await clock.advance(1_000);
    isOdd = true;
    await clock.advance(3_000);
    expect(simulation.readJob(job)).to.include({ kind: "live" });
    expect(worker.running).to.deep.equal([`${JOB}.0.0.1`]);
    expect(simulation.runsOf(`${JOB}.0.0.1`)).to.have.length(1);
  });
});

describe("the name of a task", () => {
  it("is read only as it is written", () => {
    expect(parseTaskName(`${JOB}.3.0.12` as TaskName)).to.deep.equal({
      jobId: JOB,
      occurrence: 3,
      step: 0,
      index: 12,
    });
    for (const number of ["", " 1", "1 ", "01", "1e3", "0x1", "-1", "1.5"]) {
      expect(parseTaskName(`${JOB}.0.0.${number}` as TaskName), number)
        .to.equal(undefined);
    }
    expect(parseTaskName(`${JOB}.0.0.9007199254740993` as TaskName)).to.equal(
      undefined,
    );
  });
});
