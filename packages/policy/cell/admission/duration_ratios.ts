/** Learns, for each queue, how long its tasks run compared with the callers' estimates. */
import type { QueueName } from "../types.ts";

/**
 * The estimates count as right until this many tasks have ended: the tasks of one step share one
 * estimate, so a few ends may all come from one job.
 */
const PRIOR_SAMPLES = 20;
/** Weight that a sample keeps at each later one; the mean covers about the last 200 tasks. */
const DECAY = 0.995;
/** Limits of a ratio; estimates are wrong by up to 90%, and remote tasks are 3 times slower. */
const MINIMUM_RATIO = 0.25;
const MAXIMUM_RATIO = 4;

interface Sums {
  actualMs: number;
  estimateMs: number;
  weight: number;
}

/** Ratio of real to estimated duration by queue, weighted by duration. */
export class DurationRatios {
  readonly #sums = new Map<QueueName, Sums>();

  private constructor() {}

  static create(): DurationRatios {
    return new DurationRatios();
  }

  /** Records a task that ran from its beginning to its end. */
  record(queue: QueueName, actualMs: number, estimateMs: number): void {
    const sums = this.#sums.get(queue) ??
      { actualMs: 0, estimateMs: 0, weight: 0 };
    sums.actualMs = sums.actualMs * DECAY + actualMs;
    sums.estimateMs = sums.estimateMs * DECAY + estimateMs;
    sums.weight = sums.weight * DECAY + 1;
    this.#sums.set(queue, sums);
  }

  /** 1 for a queue of which no task has ended. */
  get(queue: QueueName): number {
    const sums = this.#sums.get(queue);
    if (sums === undefined || sums.estimateMs <= 0) return 1;
    const priorMs = PRIOR_SAMPLES * sums.estimateMs / sums.weight;
    const ratio = (sums.actualMs + priorMs) / (sums.estimateMs + priorMs);
    return Math.min(MAXIMUM_RATIO, Math.max(MINIMUM_RATIO, ratio));
  }
}
