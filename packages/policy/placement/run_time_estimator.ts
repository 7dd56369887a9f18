/**
 * Estimates run times from observed ones. Declared run times are often far off, so there is a
 * histogram of the actual run time in per cent of the declared one for each service of each
 * organisation.
 */
import { build, type Histogram } from "hdr-histogram-js";
import type { EngineJob } from "../types.ts";

const PERCENT = 100;
/** Higher ratios are recorded as this one. */
const HIGHEST_PERCENT = 10_000;
/** With fewer observations, the declared run time is the estimate. */
const MINIMUM_SAMPLES = 5;
const ESTIMATE_PERCENTILE = 90;
/** Upper limit of histograms; the least recently updated one is dropped. */
const MAXIMUM_HISTOGRAMS = 2_000;

/** Run time estimates of one engine: declared run times, corrected by the observed ratios. */
export class RunTimeEstimator {
  readonly #histograms = new Map<string, Histogram>();

  private constructor() {}

  static create(): RunTimeEstimator {
    return new RunTimeEstimator();
  }

  /** Records the run time of a finished job. */
  observe(job: EngineJob, ranMs: number): void {
    const key = getKey(job);
    const histogram = this.#histograms.get(key) ?? createHistogram();
    this.#histograms.delete(key);
    this.#histograms.set(key, histogram);
    const percent = PERCENT * ranMs / Math.max(1, job.expectedRunMs);
    histogram.recordValue(
      Math.min(HIGHEST_PERCENT, Math.max(1, Math.round(percent))),
    );
    if (this.#histograms.size <= MAXIMUM_HISTOGRAMS) return;
    for (const oldest of this.#histograms.keys()) {
      this.#histograms.delete(oldest);
      break;
    }
  }

  /** 90th percentile of the run time of such jobs, at most the declared maximum. */
  estimateMs(job: EngineJob): number {
    const histogram = this.#histograms.get(getKey(job));
    if (histogram === undefined || histogram.totalCount < MINIMUM_SAMPLES) {
      return Math.min(job.maximumRunMs, job.expectedRunMs);
    }
    const percent = histogram.getValueAtPercentile(ESTIMATE_PERCENTILE);
    return Math.min(job.maximumRunMs, job.expectedRunMs * percent / PERCENT);
  }
}

function getKey(job: EngineJob): string {
  return `${job.organisation}/${job.service}`;
}

function createHistogram(): Histogram {
  return build({
    bitBucketSize: 32,
    autoResize: false,
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_PERCENT,
    numberOfSignificantValueDigits: 1,
  });
}
