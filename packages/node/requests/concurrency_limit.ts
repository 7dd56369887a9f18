/**
 * Adaptive bound on the calls of one service in progress: additive increase while it is used up,
 * multiplicative decrease when runners refuse or go silent (Chiu and Jain, 1989).
 */
import type { Clock } from "@coltsfootpond/common";
import {
  CONCURRENCY_DECREASE,
  CONCURRENCY_DECREASE_PERIOD_MS,
  MINIMUM_CONCURRENCY,
} from "./constants.ts";

export class ConcurrencyLimit {
  readonly #clock: Clock;
  #limit = Infinity;
  #decreasedMs = -Infinity;

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): ConcurrencyLimit {
    return new ConcurrencyLimit(clock);
  }

  /** Never above `capacity`, which the upstream pool gives. */
  get(capacity: number): number {
    return Math.min(capacity, Math.max(MINIMUM_CONCURRENCY, this.#limit));
  }

  noteSuccess(inProgress: number): void {
    if (inProgress + 1 >= this.#limit) this.#limit += 1 / this.#limit;
  }

  noteOverload(inProgress: number): void {
    const nowMs = this.#clock.nowMs();
    if (nowMs - this.#decreasedMs < CONCURRENCY_DECREASE_PERIOD_MS) return;
    this.#decreasedMs = nowMs;
    const used = Math.min(this.#limit, inProgress);
    this.#limit = Math.max(MINIMUM_CONCURRENCY, used * CONCURRENCY_DECREASE);
  }
}
