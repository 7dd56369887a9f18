/**
 * Bounds how many calls to workers that have never reported are under way at once, and how often
 * they are repeated, however many records name such workers. Each call takes a connection, and any
 * address may be silent.
 */
import type { Clock } from "@coltsfootpond/common";

/** A silent address takes its slot for 0.5 s, so that 10,000 of them delay a new worker by 10 s. */
export const MAXIMUM_FIRST_CONTACTS = 512;
/** Of this many calls in a row, one is a repeated one while any waits. */
const CALLS_PER_REPEATED = 4;
/** At most 200 repeated calls a second, whatever other writers record. */
export const REPEATED_CALL_PERIOD_MS = 5;

type Start = () => void;

/** Calls wait in the order of their arrival; first ones go before repeated ones. */
export class FirstContacts {
  readonly #first = new Set<Start>();
  readonly #repeated = new Set<Start>();
  readonly #clock: Clock;
  #underWay = 0;
  #callsSinceRepeated = 0;
  /** When the next repeated call may be made. */
  #repeatMs = 0;

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): FirstContacts {
    return new FirstContacts(clock);
  }

  /** Makes the call once it is its turn; rejects as the call does. */
  async run<Result>(
    isRepeated: boolean,
    call: () => Promise<Result>,
  ): Promise<Result> {
    if (isRepeated) await this.#awaitRepeat();
    if (this.#underWay >= MAXIMUM_FIRST_CONTACTS) {
      const waiting = isRepeated ? this.#repeated : this.#first;
      await new Promise<void>((start) => waiting.add(start));
    } else {
      this.#underWay++;
    }
    try {
      return await call();
    } finally {
      this.#startNext();
    }
  }

  async #awaitRepeat(): Promise<void> {
    const nowMs = this.#clock.nowMs();
    const dueMs = Math.max(nowMs, this.#repeatMs);
    this.#repeatMs = dueMs + REPEATED_CALL_PERIOD_MS;
    if (dueMs > nowMs) await this.#clock.sleep(dueMs - nowMs);
  }

  /** The slot of the call that has ended passes to the next one. */
  #startNext(): void {
    const waiting = this.#chooseQueue();
    const [start] = waiting;
    if (start === undefined) {
      this.#underWay--;
      return;
    }
    this.#callsSinceRepeated = waiting === this.#repeated
      ? 0
      : this.#callsSinceRepeated + 1;
    waiting.delete(start);
    start();
  }

  #chooseQueue(): Set<Start> {
    const isRepeatedDue = this.#callsSinceRepeated >= CALLS_PER_REPEATED - 1;
    if (this.#first.size === 0) return this.#repeated;
    return isRepeatedDue && this.#repeated.size > 0
      ? this.#repeated
      : this.#first;
  }
}
