/**
 * Gives connections with received bytes their turns, one after the other, so that one with a single
 * request does not wait behind all the requests that another has sent ahead.
 */
import { setImmediate } from "node:timers";

export interface TurnTaker {
  /** Does a bounded amount of work; returns whether it waits for a further turn. */
  takeTurn(): boolean;
}

/**
 * One turn in each iteration of the event loop, which accepts one connection in each: with more
 * turns, new connections would wait while others are served.
 */
export class TurnQueue {
  readonly #waiting = new Set<TurnTaker>();
  #isScheduled = false;

  private constructor() {}

  static create(): TurnQueue {
    return new TurnQueue();
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
      try {
        this.#giveTurn();
      } finally {
        this.#schedule();
      }
    });
  }

  #giveTurn(): void {
    const [next] = this.#waiting;
    if (next === undefined) return;
    this.#waiting.delete(next);
    if (next.takeTurn()) this.#waiting.add(next);
  }
}
