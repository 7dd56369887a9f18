/** The speeds of the workers as the lease holder estimates them. */
import type { Clock, WorkerName } from "@coltsfootpond/common";
import {
  classifySpeed,
  computeClassSpeed,
  type SpeedEstimate,
  SpeedEstimates,
  USUAL_CLASS,
} from "@coltsfootpond/policy";
import type { EndedTask } from "@coltsfootpond/ports";
import type { Unit } from "../live_job.ts";
import type { CellLog } from "../log.ts";
import type { TaskRun } from "../task_run.ts";
import type { WorkerSession } from "../worker_session.ts";
import { SpeedSampler } from "./speed_sampler.ts";

export interface SpeedTrackerOptions {
  readonly epoch: number;
  readonly clock: Clock;
  readonly log: CellLog;
  readonly getUnit: (taskRun: TaskRun) => Unit | undefined;
}

/** The class of one incarnation of a worker. */
interface ClassifiedWorker {
  readonly incarnationStartUnixMs: number;
  readonly speedClass: number;
}

/** Collects samples and classifies the workers. */
export class SpeedTracker {
  readonly #options: SpeedTrackerOptions;
  readonly #estimates = SpeedEstimates.create();
  readonly #sampler: SpeedSampler;
  /** Workers of other classes than the usual one. */
  readonly #classes = new Map<WorkerName, ClassifiedWorker>();
  #hasNewSamples = false;

  private constructor(options: SpeedTrackerOptions) {
    this.#options = options;
    this.#sampler = SpeedSampler.create({
      ...options,
      onSample: (sample) => {
        this.#hasNewSamples = true;
        this.#estimates.add(sample, options.clock.nowMs());
      },
    });
  }

  static create(options: SpeedTrackerOptions): SpeedTracker {
    return new SpeedTracker(options);
  }

  recordReport(session: WorkerSession): void {
    this.#sampler.recordReport(session);
  }

  recordEnd(session: WorkerSession, ended: EndedTask, taskRun: TaskRun): void {
    this.#sampler.recordEnd(session, ended, taskRun);
  }

  /** The speed of the worker's present incarnation; 1 where not known. */
  getSpeed({ worker, incarnationStartUnixMs }: WorkerSession): number {
    const known = this.#classes.get(worker);
    if (known?.incarnationStartUnixMs !== incarnationStartUnixMs) return 1;
    return computeClassSpeed(known.speedClass);
  }

  /** Estimates the speeds anew and returns whether a worker's class has changed. */
  update(): boolean {
    if (!this.#hasNewSamples && this.#classes.size === 0) return false;
    this.#hasNewSamples = false;
    let isChanged = false;
    const estimates = this.#estimates.estimate(this.#options.clock.nowMs());
    for (const [worker, estimate] of estimates) {
      isChanged = this.#classify(worker, estimate) || isChanged;
    }
    return isChanged;
  }

  #classify(worker: WorkerName, estimate: SpeedEstimate): boolean {
    const { incarnationStartUnixMs } = estimate;
    const known = this.#classes.get(worker);
    const present = known?.incarnationStartUnixMs === incarnationStartUnixMs
      ? known.speedClass
      : USUAL_CLASS;
    const speedClass = classifySpeed(estimate, present);
    if (speedClass === USUAL_CLASS) this.#classes.delete(worker);
    else this.#classes.set(worker, { incarnationStartUnixMs, speedClass });
    if (speedClass === present) return false;
    const { logSpeed, weight, standardError } = estimate;
    this.#options.log.info("worker.speed_changed", {
      worker,
      incarnationStartUnixMs,
      epoch: this.#options.epoch,
      speed: round(computeClassSpeed(speedClass)),
      previousSpeed: round(computeClassSpeed(present)),
      estimate: round(Math.exp(logSpeed)),
      samples: round(weight),
      standardError: round(standardError),
    });
    return true;
  }
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
