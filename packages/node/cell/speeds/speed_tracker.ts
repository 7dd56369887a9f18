/** The speeds of the workers as the lease holder estimates them. */
import type { Clock, WorkerName } from "@coltsfootpond/common";
import {
  areSpeedsUneven,
  classifySpeed,
  computeClassLogSpeed,
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
import {
  type ClassifiedWorker,
  createIncarnationTag,
  readSpeedsRow,
} from "./speeds_row.ts";

/** With this many samples, an estimate separates the classes. */
const MEASURED_WEIGHT = 4;
/** Number of samples that an estimate of an earlier lease holder counts as. */
const EARLIER_WEIGHT = 3;

export interface SpeedTrackerOptions {
  readonly epoch: number;
  readonly clock: Clock;
  readonly log: CellLog;
  readonly nowUnixMs: () => number;
  readonly getUnit: (taskRun: TaskRun) => Unit | undefined;
  /** Number of the cell's workers. */
  readonly getWorkerCount: () => number;
}

/** A class that an earlier lease holder stored; its worker has not reported yet. */
interface StoredClass {
  readonly incarnationTag: number;
  readonly speedClass: number;
  readonly atMs: number;
}

/** Collects samples and classifies the workers. */
export class SpeedTracker {
  readonly #options: SpeedTrackerOptions;
  readonly #estimates = SpeedEstimates.create();
  readonly #sampler: SpeedSampler;
  /** Workers of other classes than the usual one. */
  readonly #classes = new Map<WorkerName, ClassifiedWorker>();
  /** Incarnations of which there are enough samples. */
  readonly #measured = new Map<WorkerName, number>();
  readonly #stored = new Map<string, StoredClass>();
  #hasNewSamples = false;
  #isUneven = false;

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

  /** Reads what an earlier lease holder stored; applied when the workers report. */
  readStored(value: Uint8Array | undefined): void {
    if (value === undefined) return;
    const { clock, nowUnixMs, log } = this.#options;
    const row = readSpeedsRow(value, nowUnixMs());
    if (row === undefined) return log.warn("worker.speeds_unreadable");
    const ageMs = Math.max(0, nowUnixMs() - row.unixMs);
    for (const [worker, incarnationTag, speedClass] of row.workers) {
      const atMs = clock.nowMs() - ageMs;
      this.#stored.set(worker, { incarnationTag, speedClass, atMs });
    }
  }

  recordReport(session: WorkerSession): void {
    this.#applyStored(session);
    this.#sampler.recordReport(session);
  }

  recordEnd(session: WorkerSession, ended: EndedTask, taskRun: TaskRun): void {
    this.#sampler.recordEnd(session, ended, taskRun);
  }

  /** The speed of the worker's present incarnation; 1 where not known, and in an even cell. */
  getSpeed({ worker, incarnationStartUnixMs }: WorkerSession): number {
    if (!this.#isUneven) return 1;
    const known = this.#classes.get(worker);
    if (known?.incarnationStartUnixMs !== incarnationStartUnixMs) return 1;
    return computeClassSpeed(known.speedClass);
  }

  /** Whether there are enough samples of the worker's present incarnation. */
  isMeasured({ worker, incarnationStartUnixMs }: WorkerSession): boolean {
    return this.#measured.get(worker) === incarnationStartUnixMs;
  }

  /** Counts the workers that are slower or faster than usual, and the measured ones. */
  countWorkers() {
    const classes = [...this.#classes.values()].map(({ speedClass }) =>
      speedClass
    );
    return {
      slowWorkers: classes.filter((value) => value < USUAL_CLASS).length,
      fastWorkers: classes.filter((value) => value > USUAL_CLASS).length,
      measuredWorkers: this.#measured.size,
    };
  }

  /** Workers of other classes than the usual one; none in an even cell. */
  listClassified(): readonly ClassifiedWorker[] {
    return this.#isUneven ? [...this.#classes.values()] : [];
  }

  /**
   * Estimates the speeds of the workers for which `isKnown` holds anew and forgets the others.
   * Returns whether a worker's class has changed.
   */
  update(isKnown: (worker: WorkerName) => boolean): boolean {
    this.#estimates.retain(isKnown);
    for (const worker of this.#classes.keys()) {
      if (!isKnown(worker)) this.#classes.delete(worker);
    }
    if (!this.#hasNewSamples && this.#classes.size === 0) return false;
    this.#hasNewSamples = false;
    let isChanged = false;
    const estimates = this.#estimates.estimate(this.#options.clock.nowMs());
    this.#measured.clear();
    for (const [worker, estimate] of estimates) {
      if (estimate.weight >= MEASURED_WEIGHT) {
        this.#measured.set(worker, estimate.incarnationStartUnixMs);
      }
      isChanged = this.#classify(worker, estimate) || isChanged;
    }
    return this.#decideUneven() || isChanged;
  }

  /** Whether the verdict has changed. */
  #decideUneven(): boolean {
    const unusualWorkers = this.#classes.size;
    const knownWorkers = new Set([
      ...this.#classes.keys(),
      ...this.#measured.keys(),
    ]).size;
    const isUneven = areSpeedsUneven(
      { unusualWorkers, knownWorkers, workers: this.#options.getWorkerCount() },
      this.#isUneven,
    );
    if (isUneven === this.#isUneven) return false;
    this.#isUneven = isUneven;
    const { log, epoch } = this.#options;
    log.info("workers.speeds_changed", {
      isUneven,
      unusualWorkers,
      knownWorkers,
      epoch,
    });
    return true;
  }

  #applyStored(session: WorkerSession): void {
    const { worker, incarnationStartUnixMs } = session;
    const stored = this.#stored.get(worker);
    if (stored === undefined || !session.hasReported) return;
    this.#stored.delete(worker);
    const { incarnationTag, speedClass, atMs } = stored;
    if (createIncarnationTag(incarnationStartUnixMs) !== incarnationTag) return;
    this.#estimates.addEarlier({
      worker,
      incarnationStartUnixMs,
      logSpeed: computeClassLogSpeed(speedClass),
      weight: EARLIER_WEIGHT,
    }, atMs);
    this.#setClass({ worker, incarnationStartUnixMs, speedClass });
    this.#decideUneven();
    this.#options.log.info("worker.speed_changed", {
      worker,
      incarnationStartUnixMs,
      epoch: this.#options.epoch,
      basis: "stored",
      speed: round(computeClassSpeed(speedClass)),
      previousSpeed: 1,
      ageMs: Math.round(this.#options.clock.nowMs() - atMs),
    });
  }

  #setClass(classified: ClassifiedWorker): void {
    this.#classes.set(classified.worker, classified);
  }

  #classify(worker: WorkerName, estimate: SpeedEstimate): boolean {
    const { incarnationStartUnixMs } = estimate;
    const known = this.#classes.get(worker);
    const present = known?.incarnationStartUnixMs === incarnationStartUnixMs
      ? known.speedClass
      : USUAL_CLASS;
    const speedClass = classifySpeed(estimate, present);
    if (speedClass === USUAL_CLASS) this.#classes.delete(worker);
    else this.#setClass({ worker, incarnationStartUnixMs, speedClass });
    if (speedClass === present) return false;
    const { logSpeed, weight, standardError } = estimate;
    this.#options.log.info("worker.speed_changed", {
      worker,
      incarnationStartUnixMs,
      epoch: this.#options.epoch,
      basis: "samples",
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
