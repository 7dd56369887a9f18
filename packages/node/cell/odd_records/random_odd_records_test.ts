/**
 * Random odd records while no other fault occurs, and lease holders that follow each other.
 * ODD_RECORD_SEEDS sets the number of sequences.
 */
import { SeededRandom } from "@coltsfootpond/common";
import { expect } from "chai";
import { CellSimulation } from "../cell_simulation.ts";
import { OddRecordFaults } from "../faults/odd_record_faults.ts";
import { createRandomJob } from "../faults/random_jobs.ts";
import { startHolder } from "./cell_fixtures.ts";

const SEEDS = Number(process.env.ODD_RECORD_SEEDS ?? 10);
const WORKERS = ["a", "b", "c", "d"];
const JOBS = 6;
const TASK_DURATION_MS = 4_000;
const JOB_PERIOD_MS = 1_500;
const HOLDER_PERIOD_MS = 3_000;
/** Time until an entry acquires the lease that another has given up. */
const ACQUISITION_MS = 300;
const FAULTY_MS = 24_000;
const RECOVERY_MS = 30_000;

/** Starts a holder, and another one when it gives up the lease. */
function startHolders(simulation: CellSimulation): void {
  startHolder(simulation, () => {
    simulation.clock.after(ACQUISITION_MS, () => startHolders(simulation));
  });
}

/** Plays the sequence; returns what is not as without odd records. */
async function play(seed: number): Promise<readonly string[]> {
  const random = SeededRandom.create(seed);
  const simulation = CellSimulation.create(WORKERS);
  simulation.workers.forEach((worker) => {
    worker.taskDurationMs = TASK_DURATION_MS;
  });
  const faults = OddRecordFaults.create({
    simulation,
    random,
    hasPlannedStops: false,
  });
  const jobs = Array.from(
    { length: JOBS },
    (_, number) => ({ ...createRandomJob(random, number).spec, priority: 1 }),
  );
  for (let passedMs = 0; passedMs < FAULTY_MS; passedMs += JOB_PERIOD_MS) {
    if (passedMs % HOLDER_PERIOD_MS === 0) startHolders(simulation);
    const job = jobs[passedMs / JOB_PERIOD_MS];
    if (job !== undefined) await simulation.submit(job);
    await simulation.clock.advance(JOB_PERIOD_MS);
  }
  faults.end();
  await simulation.clock.advance(RECOVERY_MS);
  const { history, unnamedCalls } = simulation;
  return [
    ...history.filter(({ end }) => end !== "done").map((run) =>
      `${run.task} on ${run.worker} at ${run.startedMs} ms: ${run.end}`
    ),
    ...jobs.filter((job) => simulation.readJob(job)?.kind !== "ended").map((
      { jobId },
    ) => `${jobId} is not completed`),
    ...unnamedCalls,
  ].map((problem) => `seed ${seed}: ${problem}`);
}

describe("random odd records", () => {
  // Guards against runs that are stopped, lost or started again as other rows than their workers'
  // own are in the table.
  it(`leave all runs alone in ${SEEDS} sequences`, async () => {
    const problems: string[] = [];
    for (let seed = 1; seed <= SEEDS; seed++) {
      problems.push(...await play(seed));
    }
    expect(problems).to.deep.equal([]);
  });
});
