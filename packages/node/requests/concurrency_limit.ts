/**
 * Adaptive bound on the calls of one service in progress. Each window in which runners refused more
 * than a small share of the attempts lowers it by a factor; each other window in which it was used up
 * raises it by a factor. It cannot see why a runner is full, only that it is, so a few refusals, as
 * borrowed slots bring them, leave it alone.
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

  /** Never above `capacity`, which the upstream pool gives. */
  get(capacity: number): number {
    return Math.min(capacity, Math.max(MINIMUM_CONCURRENCY, this.#limit));
  }

  /** Takes the end of one attempt into account. */
  noteAttempt(refused: boolean, inProgress: number): void {
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
