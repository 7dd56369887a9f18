/** Statistics of the samples of workers relative to the levels of their steps. */
import type { WorkerName } from "@coltsfootpond/common";
import {
  computeMedian,
  computeWeightedMean,
  computeWeightedMedian,
} from "./statistics.ts";

/**
 * Standard deviation of the logarithm of the length of tasks of one step, as long as it is not
 * measured. Lengths differ by 15 to 30%; a smaller value than the largest would take noise for
 * differences of speed.
 */
const TASK_NOISE = 0.3;
/** Bounds of the measured value. Rounded percentages alone cause about 0.1. */
const MINIMUM_NOISE = 0.12;
const MAXIMUM_NOISE = 0.4;
/** Number of samples from which the noise is measured. */
const NOISE_SAMPLES = 40;
/** Samples of a worker with which its mean is distinguished from their noise. */
const NOISE_SAMPLES_OF_WORKER = 3;
/**
 * The levels of the steps have errors, too, which samples of one worker share and which do not show
 * in the differences between them.
 */
const LEVEL_FACTOR = 1.2;
/** Ratio of the standard deviation of normally distributed values to their median deviation. */
const DEVIATION_FACTOR = 1.48;
/** Standard deviation of the logarithm of workers' speeds, for shrinking; 0.6 to 1.6 has 0.4. */
const SPEED_SPREAD = 0.4;
/** Number of samples that the assumption of the usual speed counts as. */
export const PRIOR_WEIGHT = (TASK_NOISE / SPEED_SPREAD) ** 2;
/**
 * A worker's older samples are dropped if the recent ones differ by this many standard errors, and
 * by more than CHANGE_MINIMUM: with one recent sample, by a factor of about 3.
 */
const CHANGE_STANDARD_ERRORS = 3;
const CHANGE_MINIMUM = 0.25;
/**
 * A worker's older samples are dropped, too, if the rates of its runs have changed by a factor of 2
 * on average. Rounded percentages change the rate of an interval of 5% by up to 40%.
 */
const RUN_CHANGE = Math.log(2);
/** Residuals this many standard deviations from a worker's median are cut off. */
const CUT_OFF_DEVIATIONS = 2;

/** A sample relative to the level of its step, in log space. */
export interface Residual {
  readonly value: number;
  readonly weight: number;
  /** Change of the run's rate since its previous sample. */
  readonly change: number | undefined;
  readonly atMs: number;
}

/** The noise of the tasks' lengths, from the differences between samples of the same worker. */
export function measureNoise(
  byWorker: ReadonlyMap<WorkerName, readonly Residual[]>,
): number {
  const deviations = [...byWorker.values()].flatMap((residuals) => {
    if (residuals.length < NOISE_SAMPLES_OF_WORKER) return [];
    const { mean } = summarise(residuals);
    // The mean of few samples is close to each of them.
    const factor = Math.sqrt(residuals.length / (residuals.length - 1));
    return residuals.map(({ value }) => factor * Math.abs(value - mean));
  });
  if (deviations.length < NOISE_SAMPLES) return TASK_NOISE;
  const noise = LEVEL_FACTOR * DEVIATION_FACTOR *
    (computeMedian(deviations) ?? TASK_NOISE);
  return Math.min(MAXIMUM_NOISE, Math.max(MINIMUM_NOISE, noise));
}

/** Whether the rates of the runs themselves have changed, which no task's length explains. */
export function haveRunsChanged(recent: readonly Residual[]): boolean {
  const changes = recent.flatMap(({ change, weight }) =>
    change === undefined ? [] : [{ value: change, weight }]
  );
  return changes.length > 0 &&
    Math.abs(computeWeightedMean(changes)) > RUN_CHANGE;
}

/** Whether the recent samples differ from the older ones by more than noise explains. */
export function areUnlike(
  recent: readonly Residual[],
  older: readonly Residual[],
): boolean {
  const difference = Math.abs(
    computeWeightedMean(recent) - summarise(older).mean,
  );
  const limit = CHANGE_MINIMUM + CHANGE_STANDARD_ERRORS * TASK_NOISE *
      Math.sqrt(
        1 / sumWeights(recent) + 1 / (sumWeights(older) + PRIOR_WEIGHT),
      );
  return difference > limit;
}

function sumWeights(residuals: readonly Residual[]): number {
  return residuals.reduce((sum, { weight }) => sum + weight, 0);
}

export function shrink(logSpeed: number, weight: number): number {
  return logSpeed * weight / (weight + PRIOR_WEIGHT);
}

/** The mean without the influence of single outliers, such as one task that hangs. */
export function summarise(residuals: readonly Residual[]) {
  const weight = sumWeights(residuals);
  if (weight === 0) return { mean: 0, logSpeed: 0, weight };
  const median = computeWeightedMedian(residuals);
  const limit = CUT_OFF_DEVIATIONS * TASK_NOISE;
  const mean = computeWeightedMean(
    residuals.map(({ value, weight }) => ({
      value: Math.min(Math.max(value, median - limit), median + limit),
      weight,
    })),
  );
  return { mean, logSpeed: shrink(mean, weight), weight };
}
