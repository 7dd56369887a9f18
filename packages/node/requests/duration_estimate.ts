/**
 * Smoothed duration of attempts with its mean deviation (Jacobson, 1988). It falls faster than it
 * rises, so that calls are not refused long after a stall has ended.
 */
import {
  DURATION_DEVIATIONS,
  DURATION_MINIMUM_SAMPLES,
  DURATION_RECOVERY,
  DURATION_SMOOTHING,
} from "./constants.ts";

/** One per service; `ServiceAdmission` uses it to refuse calls whose deadline is too near. */
export class DurationEstimate {
  #samples = 0;
  #meanMs = 0;
  #deviationMs = 0;

  private constructor() {}

  static create(): DurationEstimate {
    return new DurationEstimate();
  }

  get meanMs(): number {
    return this.#meanMs;
  }

  /** Whether there are enough samples to refuse a call by the estimate. */
  get hasEnoughSamples(): boolean {
    return this.#samples >= DURATION_MINIMUM_SAMPLES;
  }

  /** Duration within which nearly every call ends. */
  get upperBoundMs(): number {
    return this.#meanMs + DURATION_DEVIATIONS * this.#deviationMs;
  }

  /** The first sample becomes the mean, and half of it the deviation. */
  add(durationMs: number): void {
    this.#samples++;
    if (this.#meanMs === 0) {
      this.#meanMs = durationMs;
      this.#deviationMs = durationMs / 2;
      return;
    }
    const error = durationMs - this.#meanMs;
    const smoothing = error < 0 ? DURATION_RECOVERY : DURATION_SMOOTHING;
    this.#meanMs += smoothing * error;
    this.#deviationMs += smoothing *
      (Math.abs(error) - this.#deviationMs);
  }
}
