/** Ejects a failing runner for exponentially growing times, then raises its load slowly. */
import type { Clock } from "@coltsfootpond/common";
import {
  CONSECUTIVE_FAILURES,
  CONSECUTIVE_UNREACHABLE,
  EJECTION_BASE_MS,
  EJECTION_FAILURE_SHARE,
  EJECTION_MAXIMUM_MS,
  FAILURE_SMOOTHING,
  SLOW_START_MS,
} from "./constants.ts";
import { FAILURE_CAUSE, type FailureCause } from "./types.ts";

/**
 * By cause of a failure: the consecutive failures, of any counted cause, at which it ejects the
 * runner. Failures of a cause with undefined are not counted.
 */
const EJECTION_THRESHOLD: Readonly<Record<FailureCause, number | undefined>> = {
  [FAILURE_CAUSE.NONE]: undefined,
  [FAILURE_CAUSE.FULL]: undefined,
  [FAILURE_CAUSE.UNREACHABLE]: CONSECUTIVE_UNREACHABLE,
  [FAILURE_CAUSE.SILENT]: 1,
  [FAILURE_CAUSE.FAILURE]: CONSECUTIVE_FAILURES,
};

export interface RunnerHealthOptions {
  readonly clock: Clock;
  /** Whether one more runner may be ejected. */
  readonly mayEject: () => boolean;
}

/** One per runner. */
export class RunnerHealth {
  readonly #options: RunnerHealthOptions;
  #consecutiveFailures = 0;
  #failureShare = 0;
  #ejections = 0;
  #ejectedUntilMs: number | undefined;

  private constructor(options: RunnerHealthOptions) {
    this.#options = options;
  }

  static create(options: RunnerHealthOptions): RunnerHealth {
    return new RunnerHealth(options);
  }

  isEjected(): boolean {
    return this.#ejectedUntilMs !== undefined &&
      this.#options.clock.nowMs() < this.#ejectedUntilMs;
  }

  /** Share of the runner's slots that may be used, in (0, 1]; below 1 after an ejection. */
  getLoadShare(): number {
    if (this.#ejectedUntilMs === undefined) return 1;
    const readmittedForMs = this.#options.clock.nowMs() - this.#ejectedUntilMs;
    return Math.max(0.01, Math.min(1, readmittedForMs / SLOW_START_MS));
  }

  recordSuccess(): void {
    this.#consecutiveFailures = 0;
    this.#updateFailureShare(0);
    if (this.#ejectedUntilMs !== undefined && this.getLoadShare() === 1) {
      this.#ejectedUntilMs = undefined;
      this.#ejections = 0;
    }
  }

  /** Returns true when this failure ejects the runner. */
  recordFailure(cause: FailureCause): boolean {
    const threshold = EJECTION_THRESHOLD[cause];
    if (threshold === undefined) return false;
    this.#consecutiveFailures++;
    this.#updateFailureShare(1);
    const failing = this.#consecutiveFailures >= threshold ||
      this.#failureShare > EJECTION_FAILURE_SHARE;
    if (!failing || this.isEjected() || !this.#options.mayEject()) return false;
    this.#eject();
    return true;
  }

  #updateFailureShare(sample: number): void {
    this.#failureShare += FAILURE_SMOOTHING * (sample - this.#failureShare);
  }

  #eject(): void {
    const durationMs = Math.min(
      EJECTION_BASE_MS * 2 ** this.#ejections,
      EJECTION_MAXIMUM_MS,
    );
    this.#ejections++;
    this.#failureShare = 0;
    this.#ejectedUntilMs = this.#options.clock.nowMs() + durationMs;
  }
}
