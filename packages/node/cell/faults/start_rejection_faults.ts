/**
 * Workers that reject the starts of one step, or of one job, for a while: all of them or some, for
 * one reason, whatever room they have.
 */
import { nextInteger, type Random } from "@coltsfootpond/common";
import type { CellJobSpec } from "@coltsfootpond/policy";
import type { CellSimulation } from "../cell_simulation.ts";
import {
  acceptStarts,
  REJECTION_REASONS,
  type RejectionReason,
  rejectStarts,
} from "../fakes/start_rejections.ts";
import type { WorkerFake } from "../workers_fake.ts";

const MAXIMUM_PAUSE_MS = 2_000;
const MAXIMUM_DURATION_MS = 8_000;
/** Shares of the faults that concern the whole job, and all workers. */
const JOB_SHARE = 0.5;
const ALL_WORKERS_SHARE = 0.5;

export interface StartRejectionOptions {
  readonly simulation: CellSimulation;
  readonly random: Random;
  readonly listJobs: () => readonly CellJobSpec[];
}

export class StartRejectionFaults {
  readonly #options: StartRejectionOptions;
  #isEnded = false;
  /** Number of starts that were rejected or not answered. */
  rejections = 0;

  private constructor(options: StartRejectionOptions) {
    this.#options = options;
    this.#rejectLater();
  }

  static create(options: StartRejectionOptions): StartRejectionFaults {
    return new StartRejectionFaults(options);
  }

  /** All starts are accepted from now on. */
  end(): void {
    this.#isEnded = true;
    this.#acceptAll();
  }

  #rejectLater(): void {
    const { simulation, random } = this.#options;
    const pauseMs = 1 + nextInteger(random, MAXIMUM_PAUSE_MS);
    simulation.clock.after(pauseMs, () => {
      if (this.#isEnded) return;
      this.#reject();
      const durationMs = 1 + nextInteger(random, MAXIMUM_DURATION_MS);
      simulation.clock.after(durationMs, () => {
        if (this.#isEnded) return;
        this.#acceptAll();
        this.#rejectLater();
      });
    });
  }

  #reject(): void {
    const { simulation, random, listJobs } = this.#options;
    const jobs = listJobs().filter((job) => this.#isWaiting(job));
    if (jobs.length === 0) return;
    const { jobId, steps } = jobs[nextInteger(random, jobs.length)]!;
    const step = nextInteger(random, steps.length);
    const prefix = random.next() < JOB_SHARE
      ? `${jobId}.`
      : `${jobId}.0.${step}.`;
    const reason =
      REJECTION_REASONS[nextInteger(random, REJECTION_REASONS.length)]!;
    const isEverywhere = random.next() < ALL_WORKERS_SHARE;
    for (const worker of simulation.workers.values()) {
      if (!isEverywhere && random.next() < 0.5) continue;
      this.#rejectOn(worker, prefix, reason);
    }
  }

  /** Whether the job has not ended, or is yet to be submitted, and nothing of it runs. */
  #isWaiting(job: CellJobSpec): boolean {
    const { simulation } = this.#options;
    return simulation.readJob(job)?.kind !== "ended" &&
      !simulation.history.some(({ task, endedMs }) =>
        endedMs === undefined && task.startsWith(`${job.jobId}.`)
      );
  }

  #rejectOn(
    worker: WorkerFake,
    prefix: string,
    reason: RejectionReason,
  ): void {
    rejectStarts(worker, reason, (task) => {
      if (!task.startsWith(prefix)) return false;
      this.rejections++;
      return true;
    });
  }

  #acceptAll(): void {
    this.#options.simulation.workers.forEach(acceptStarts);
  }
}
