/**
 * Random faults in a simulated cell: workers that are disconnected, cut off from the store, restart
 * or leave, calls and writes that are carried out late or whose answers are lost, odd records among
 * the workers' ones, workers that reject the starts of one job, and lease holders that are replaced.
 * The checks use the runs as the workers recorded them. CELL_FAULT_SEEDS and CELL_FAULT_FIRST_SEED
 * set other seeds; CELL_FAULT_CARRIED_OVER=1 also lets the next process of a worker carry out late
 * calls; CELL_FAULT_ODD_RECORDS=0 leaves out the odd records.
 */
import { expect } from "chai";
import type { CellJobSpec } from "@coltsfootpond/policy";
import { FaultyCell, type FaultyCellOptions } from "./faults/faulty_cell.ts";

const FIRST_SEED = Number(process.env.CELL_FAULT_FIRST_SEED ?? 1);
/** Late calls are carried out by the next process under the same name. */
const HAS_CALLS_CARRIED_OVER = process.env.CELL_FAULT_CARRIED_OVER === "1";
const HAS_ODD_RECORDS = process.env.CELL_FAULT_ODD_RECORDS !== "0";
const SEEDS = Number(process.env.CELL_FAULT_SEEDS ?? 120);
/** Share of the sequences that are also played with calls that throw. */
const BREAKING_SHARE = 0.25;
/** Generous for one sequence, so that a slow machine does not end the check. */
const COURSE_TIMEOUT_MS = 2_000;

/** Two more starts after the third crash (the platform's rules). */
const MOST_CRASHING_STARTS = 5;
/** Two a second for as long as workers reject starts: 24 steps of 0.5 s and 12 s after them. */
const MOST_REJECTED_STARTS = 48;
/** The platform's rules allow to give a task up after two. */
const LEAST_CRASHES_OF_GIVEN_UP = 3;

function checkOrder(cell: FaultyCell): void {
  const { history } = cell.simulation;
  for (const job of cell.jobs) {
    const later = history.filter(({ task }) =>
      task.startsWith(`${job.jobId}.0.1.`)
    );
    const first = Math.min(...later.map(({ startedMs }) => startedMs));
    const count = job.steps[0]!.isGang ? 1 : job.steps[0]!.count;
    const done = new Set(
      history.filter(({ task, end, endedMs }) =>
        task.startsWith(`${job.jobId}.0.0.`) && end === "done" &&
        endedMs! <= first
      ).map(({ task }) => task),
    );
    if (later.length > 0) expect(done.size).to.be.at.least(count);
  }
}

/** Ends whose worker's lease expired before the acknowledgement don't count. */
function checkStartsAfterDone(cell: FaultyCell): void {
  const { history } = cell.simulation;
  for (const run of history) {
    if (run.end !== "done" || run.mayRunAgain) continue;
    const again = history.filter((other) =>
      other.task === run.task && other.startedMs > run.endedMs!
    );
    expect(again, `${run.task} after done`).to.have.length(0);
  }
}

/** Number of workers whose process ended while they ran the task. */
function countCrashes(cell: FaultyCell, task: string): number {
  return cell.simulation.runsOf(task).filter(({ end, endedMs }) =>
    end === undefined && endedMs !== undefined
  ).length;
}

/** All names of tasks of the job that were started. */
function listTasks(cell: FaultyCell, job: CellJobSpec): readonly string[] {
  const tasks = cell.simulation.history.map(({ task }) => task);
  return [...new Set(tasks)].filter((task) => task.startsWith(job.jobId));
}

/** A job whose workers were ended by the faults again and again may be given up. */
function checkCompleted(cell: FaultyCell): void {
  for (const job of cell.jobs) {
    const crashes = Math.max(
      ...listTasks(cell, job).map((task) => countCrashes(cell, task)),
    );
    const row = cell.simulation.readJob(job);
    const isGivenUp = row?.kind === "ended" && row.reason === "crashes";
    if (isGivenUp && crashes >= LEAST_CRASHES_OF_GIVEN_UP) continue;
    expect(row, `job ${job.jobId}`).to.include({ state: "completed" });
  }
}

function checkCrashingJob(cell: FaultyCell): void {
  const { crashingJob } = cell;
  if (crashingJob === undefined) return;
  for (const task of listTasks(cell, crashingJob)) {
    const starts = cell.simulation.runsOf(task).length;
    expect(starts, `starts of ${task}`).to.be.at.most(MOST_CRASHING_STARTS);
  }
}

function checkGivenUp(cell: FaultyCell): void {
  if (cell.crashingJob === undefined) return;
  const row = cell.simulation.readJob(cell.crashingJob);
  expect(row, "the job that crashes workers").to.include({ state: "failed" });
}

function describeFailure(seed: number, check: () => void): readonly string[] {
  try {
    check();
    return [];
  } catch (error) {
    return [`seed ${seed}: ${(error as Error).message}`];
  }
}

function describeSequences(
  title: string,
  seeds: number,
  options: FaultyCellOptions,
): void {
  describe(title, () => checkSequences(seeds, options));
}

function checkSequences(seeds: number, options: FaultyCellOptions): void {
  const unsafe: string[] = [];
  const incomplete: string[] = [];
  const misdirected: string[] = [];

  before("runs the sequences", async function () {
    this.timeout(seeds * COURSE_TIMEOUT_MS);
    for (let seed = FIRST_SEED; seed < FIRST_SEED + seeds; seed++) {
      const cell = FaultyCell.create(seed, {
        ...options,
        hasCallsCarriedOver: HAS_CALLS_CARRIED_OVER,
        hasOddRecords: HAS_ODD_RECORDS,
      });
      await cell.run();
      unsafe.push(...describeFailure(seed, () => {
        expect(cell.simulation.countOverlaps(), "overlaps").to.equal(0);
        checkOrder(cell);
        checkStartsAfterDone(cell);
        checkCrashingJob(cell);
        expect(cell.capacityViolations, "capacity").to.deep.equal([]);
        expect(cell.quotaViolations, "quota").to.deep.equal([]);
        expect(cell.begunListViolations, "begun jobs").to.deep.equal([]);
        expect(cell.rejectedStarts, "rejected starts").to.be.at.most(
          MOST_REJECTED_STARTS,
        );
      }));
      incomplete.push(...describeFailure(seed, () => {
        checkCompleted(cell);
        checkGivenUp(cell);
      }));
      misdirected.push(...describeFailure(seed, () => {
        expect(cell.simulation.unnamedCalls).to.deep.equal([]);
      }));
    }
  });

  it(`keeps its invariants under ${seeds} random fault sequences`, () => {
    expect(unsafe).to.deep.equal([]);
  });

  it(`keeps its invariants so that all jobs complete after ${seeds} of them`, () => {
    expect(incomplete).to.deep.equal([]);
  });

  // Guards against calls to what only an unusable record names.
  it(`keeps its invariants so that usable records name all call targets in ${seeds} of them`, () => {
    expect(misdirected).to.deep.equal([]);
  });
}

describeSequences("cell under faults", SEEDS, {});
// Guards against a conclusion from a call that threw, as it may have been carried out.
describeSequences(
  "cell under faults, some calls of which throw,",
  Math.ceil(SEEDS * BREAKING_SHARE),
  { hasBreakingCalls: true },
);
