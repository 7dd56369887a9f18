/**
 * Adaptive limit on the concurrent calls of one service. A window in which runners refused more
 * than a small share of the attempts lowers it by a factor; any other window in which it was nearly
 * used up raises it by a factor. A refusal does not show why the runner is full, and borrowed slots
 * cause a few refusals, so a small share of them does not change the limit.
 */
import type { Clock } from "@coltsfootpond/common";
import {
  CONCURRENCY_DECREASE,
  CONCURRENCY_INCREASE,
  CONCURRENCY_USED_SHARE,
  CONCURRENCY_WINDOW_MS,
  MINIMUM_CONCURRENCY,
  TOLERATED_REFUSAL_SHARE,
} from "./constants.ts";

/** One per service; `ServiceAdmission` reads it and records the end of each attempt. */
export class ConcurrencyLimit {
  readonly #clock: Clock;
  #limit = Infinity;
  #windowEndMs: number;
  #attempts = 0;
  #refusals = 0;
  #highestInProgress = 0;

  private constructor(clock: Clock) {
    this.#clock = clock;
    this.#windowEndMs = clock.nowMs() + CONCURRENCY_WINDOW_MS;
  }

  static create(clock: Clock): ConcurrencyLimit {
    return new ConcurrencyLimit(clock);
  }

  /** Returns the current limit, at most `capacity`, the slots in the upstream pool. */
  get(capacity: number): number {
    return Math.min(capacity, Math.max(MINIMUM_CONCURRENCY, this.#limit));
  }

  /** Records the end of one attempt; adjusts the limit at the end of each window. */
  recordAttempt(refused: boolean, inProgress: number): void {
    this.#attempts++;
    if (refused) this.#refusals++;
    this.#highestInProgress = Math.max(this.#highestInProgress, inProgress);
    const nowMs = this.#clock.nowMs();
    if (nowMs < this.#windowEndMs) return;
    this.#adjust();
    this.#windowEndMs = nowMs + CONCURRENCY_WINDOW_MS;
    this.#attempts = 0;
    this.#refusals = 0;
    this.#highestInProgress = 0;
  }

  #adjust(): void {
    const highest = this.#highestInProgress;
    if (this.#refusals > this.#attempts * TOLERATED_REFUSAL_SHARE) {
      this.#limit = Math.max(
        MINIMUM_CONCURRENCY,
        Math.min(this.#limit, highest) * CONCURRENCY_DECREASE,
      );
    } else if (highest >= this.#limit * CONCURRENCY_USED_SHARE) {
      this.#limit = Math.max(
        this.#limit + 1,
        this.#limit * CONCURRENCY_INCREASE,
      );
    }
  }
}
