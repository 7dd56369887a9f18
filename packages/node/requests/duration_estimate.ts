/**
 * Smoothed time that attempts take, with its mean deviation (Jacobson, 1988). It falls faster than it
 * rises, so that a stall does not outlive itself in refusals.
 */
import {
  DURATION_DEVIATIONS,
  DURATION_MINIMUM_SAMPLES,
  DURATION_RECOVERY,
  DURATION_SMOOTHING,
} from "./constants.ts";

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

  /** Whether there are answers enough to refuse a call by the estimate. */
  get isSettled(): boolean {
    return this.#samples >= DURATION_MINIMUM_SAMPLES;
  }

  /** A time within which nearly every call ends. */
  get safeMs(): number {
    return this.#meanMs + DURATION_DEVIATIONS * this.#deviationMs;
  }

  /** The first sample stands for the mean, half of it for the deviation. */
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
