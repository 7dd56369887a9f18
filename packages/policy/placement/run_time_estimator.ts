/**
 * Run times corrected by what was observed. Declared times are often far off, so each service of
 * each organisation keeps a histogram of the actual run time as a share of the declared one.
 */
import { build, type Histogram } from "hdr-histogram-js";
import type { EngineJob } from "../types.ts";

const PERCENT = 100;
const HIGHEST_PERCENT = 10_000;
const MINIMUM_SAMPLES = 5;
const ESTIMATE_PERCENTILE = 90;
/** Services of organisations with a histogram; the one unused for longest is dropped. */
const MAXIMUM_HISTOGRAMS = 2_000;

export class RunTimeEstimator {
  readonly #histograms = new Map<string, Histogram>();

  private constructor() {}

  static create(): RunTimeEstimator {
    return new RunTimeEstimator();
  }

  /** Takes in how long a finished job ran. */
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

  /** How long a job will run with nine in ten certainty, never past its declared maximum. */
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
