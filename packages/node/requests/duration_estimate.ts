/** Smoothed time that calls take, with their mean deviation (Jacobson, 1988). */
import { DURATION_DEVIATIONS, DURATION_SMOOTHING } from "./constants.ts";

export class DurationEstimate {
  #meanMs = 0;
  #deviationMs = 0;

  private constructor() {}

  static create(): DurationEstimate {
    return new DurationEstimate();
  }

  get meanMs(): number {
    return this.#meanMs;
  }

  /** A time within which nearly every call ends. */
  get safeMs(): number {
    return this.#meanMs + DURATION_DEVIATIONS * this.#deviationMs;
  }

  /** The first sample stands for the mean, half of it for the deviation. */
  add(durationMs: number): void {
    if (this.#meanMs === 0) {
      this.#meanMs = durationMs;
      this.#deviationMs = durationMs / 2;
      return;
    }
    const error = durationMs - this.#meanMs;
    this.#meanMs += DURATION_SMOOTHING * error;
    this.#deviationMs += DURATION_SMOOTHING *
      (Math.abs(error) - this.#deviationMs);
  }
}
