/**
 * Gives connections with received bytes their turns, one after the other, so that one with a single
 * request does not wait behind all the requests that another has sent ahead.
 */
import { setImmediate } from "node:timers";
import type { Clock } from "@coltsfootpond/common";

/** Time after which the event loop serves other work between two turns. */
const TURNS_MS = 5;

export interface TurnTaker {
  /** Does a bounded amount of work; returns whether it waits for a further turn. */
  takeTurn(): boolean;
}

export class TurnQueue {
  readonly #clock: Clock;
  readonly #waiting = new Set<TurnTaker>();
  #isScheduled = false;

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): TurnQueue {
    return new TurnQueue(clock);
  }

  has(taker: TurnTaker): boolean {
    return this.#waiting.has(taker);
  }

  add(taker: TurnTaker): void {
    this.#waiting.add(taker);
    this.#schedule();
  }

  delete(taker: TurnTaker): void {
    this.#waiting.delete(taker);
  }

  #schedule(): void {
    if (this.#isScheduled || this.#waiting.size === 0) return;
    this.#isScheduled = true;
    setImmediate(() => {
      this.#isScheduled = false;
      this.#giveTurns();
      this.#schedule();
    });
  }

  #giveTurns(): void {
    const endMs = this.#clock.nowMs() + TURNS_MS;
    // Those that are added meanwhile have their turns after the event loop's other work.
    let left = this.#waiting.size;
    for (const taker of this.#waiting) {
      this.#waiting.delete(taker);
      if (taker.takeTurn()) this.#waiting.add(taker);
      if (--left <= 0 || this.#clock.nowMs() >= endMs) return;
    }
  }
}
