/**
 * Random faults in a simulated cell: disconnected workers, starts carried out late, lease holders
 * that stop, lease holders that are replaced while they run on, and a store that refuses writes or
 * loses answers. The checks use the runs as the workers recorded them.
 */
import { nextInteger, SeededRandom } from "@coltsfootpond/common";
import type { CellJobSpec } from "@coltsfootpond/policy";
import type { TransactOutcome } from "@coltsfootpond/ports";
import { expect } from "chai";
import type { CellScheduler } from "./cell_scheduler.ts";
import { CellSimulation } from "./cell_simulation.ts";
import { createSpec, createStep } from "./test_fixtures.ts";
import type { WorkerFake } from "./workers_fake.ts";

const SEEDS = 120;
const WORKERS = ["a", "b", "c", "d"] as const;
const JOBS = 5;
const FAULTY_STEPS = 24;
const STEP_MS = 500;
/** Enough for every lease to expire and all work to finish once the faults are over. */
const RECOVERY_MS = 45_000;

function createJobs(random: SeededRandom): readonly CellJobSpec[] {
  return Array.from({ length: JOBS }, (_, number) => {
    const isGang = random.next() < 0.5;
    const count = 1 + nextInteger(random, 4);
    const steps = [createStep({ count, isGang })];
    if (random.next() < 0.5) steps.push(createStep({ after: [0], count: 2 }));
    return createSpec(number.toString(16).padStart(16, "0"), {
      steps,
      priority: nextInteger(random, 3),
      maximumAttempts: 1_000,
    });
  });
}

/** A simulated cell with random jobs and faults. */
class FaultyCell {
  readonly simulation = CellSimulation.create(WORKERS);
  readonly jobs: readonly CellJobSpec[];
  readonly #random: SeededRandom;
  #scheduler: CellScheduler | undefined;
  #mayAct = { current: true };
  #storeFault: "none" | "refuses" | "loses" = "none";

  private constructor(seed: number) {
    this.#random = SeededRandom.create(seed);
    this.jobs = createJobs(this.#random);
    this.#injectStoreFaults();
  }

  static create(seed: number): FaultyCell {
    return new FaultyCell(seed);
  }

  async run(): Promise<void> {
    this.#replaceScheduler();
    for (let step = 0; step < FAULTY_STEPS; step++) {
      const job = this.jobs[step];
      if (job !== undefined) await this.#submit(job);
      this.#injectFault();
      this.#endTasks();
      await this.simulation.clock.advance(STEP_MS);
    }
    await this.#recover();
  }

  async #submit(job: CellJobSpec): Promise<void> {
    const fault = this.#storeFault;
    this.#storeFault = "none";
    await this.simulation.submit(job);
    this.#storeFault = fault;
  }

  async #recover(): Promise<void> {
    this.#storeFault = "none";
    for (const worker of this.simulation.workers.values()) {
      worker.isDisconnected = false;
      worker.startDelayMs = undefined;
    }
    this.#replaceScheduler();
    for (let passedMs = 0; passedMs < RECOVERY_MS; passedMs += STEP_MS) {
      this.#endTasks();
      await this.simulation.clock.advance(STEP_MS);
    }
  }

  /** Starts a new lease holder. The previous one stops or runs on without the right to act. */
  #replaceScheduler(): void {
    this.#mayAct.current = false;
    if (this.#random.next() < 0.5) this.#scheduler?.stop();
    const mayAct = { current: true };
    this.#mayAct = mayAct;
    this.#scheduler = this.simulation.startScheduler(() => mayAct.current);
  }

  #injectFault(): void {
    const worker = this.#pickWorker();
    const choice = nextInteger(this.#random, 8);
    if (choice === 0) worker.isDisconnected = true;
    if (choice === 1) worker.isDisconnected = false;
    if (choice === 2) {
      worker.startDelayMs = 200 + nextInteger(this.#random, 4_000);
    }
    if (choice === 3) worker.startDelayMs = undefined;
    if (choice === 4) this.#replaceScheduler();
    if (choice === 5) this.#storeFault = "refuses";
    if (choice === 6) this.#storeFault = "loses";
    if (choice === 7) this.#storeFault = "none";
  }

  #pickWorker(): WorkerFake {
    const workers = [...this.simulation.workers.values()];
    return workers[nextInteger(this.#random, workers.length)]!;
  }

  /** Ends some tasks. A gang ends as a whole, and only when all of its tasks run. */
  #endTasks(): void {
    for (const job of this.jobs) {
      for (const [number, step] of job.steps.entries()) {
        const prefix = `${job.jobId}.0.${number}.`;
        const running = [...this.simulation.workers.values()].flatMap((
          worker,
        ) =>
          worker.running.filter((task) => task.startsWith(prefix))
            .map((task) => ({ worker, task }))
        );
        const isWhole = !step.isGang || running.length === step.count;
        if (!isWhole || this.#random.next() < 0.7) continue;
        const end = this.#random.next() < 0.8 ? "done" : "failed";
        for (const { worker, task } of running) worker.end(task, end);
      }
    }
  }

  #injectStoreFaults(): void {
    const { store } = this.simulation;
    const { transact } = store;
    store.transact = async (...call): Promise<TransactOutcome> => {
      const fault = this.#storeFault;
      if (fault === "refuses") {
        return { kind: "unavailable", effect: "refused", reason: "test" };
      }
      const isLost = fault === "loses" && this.#random.next() < 0.4;
      if (!isLost) return await transact(...call);
      // The write takes effect or never does, and its answer is lost.
      if (this.#random.next() < 0.5) await transact(...call);
      return { kind: "unavailable", effect: "lost", reason: "test" };
    };
  }
}

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

describe("cell under faults", () => {
  it(`keeps its invariants under ${SEEDS} random fault sequences`, async () => {
    for (let seed = 1; seed <= SEEDS; seed++) {
      const cell = FaultyCell.create(seed);
      await cell.run();
      const label = `seed ${seed}`;
      expect(cell.simulation.countOverlaps(), label).to.equal(0);
      checkOrder(cell);
      checkStartsAfterDone(cell);
      for (const job of cell.jobs) {
        expect(cell.simulation.readJob(job), label).to.include({
          state: "completed",
        });
      }
    }
  });
});
