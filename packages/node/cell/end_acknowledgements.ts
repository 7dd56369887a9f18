/** How far the ends that one worker listed are stored, and acknowledged to it. */
import type { Clock } from "@coltsfootpond/common";

/** A worker answers at once while it lists ends that are not acknowledged: wait for the store. */
const STORED_TIMEOUT_MS = 400;

/** Numbers of ends count anew in each life of the worker. */
export class EndAcknowledgements {
  readonly #clock: Clock;
  #stored = 0;
  #acknowledged = 0;
  #onStored: (() => void) | undefined;

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): EndAcknowledgements {
    return new EndAcknowledgements(clock);
  }

  /** Ends up to this number are stored; the worker may forget them. */
  get stored(): number {
    return this.#stored;
  }

  /** Whether the worker keeps ends that it could forget. */
  get isAcknowledgementDue(): boolean {
    return this.#stored > this.#acknowledged;
  }

  setStored(number: number): void {
    this.#stored = Math.max(this.#stored, number);
    this.#onStored?.();
  }

  setAcknowledged(number: number): void {
    this.#acknowledged = Math.max(this.#acknowledged, number);
  }

  /** The worker began a new life. */
  reset(): void {
    this.#stored = 0;
    this.#acknowledged = 0;
  }

  /** Waits a moment for ends up to `getNumber()` to be stored. */
  async awaitStored(getNumber: () => number): Promise<void> {
    const deadlineMs = this.#clock.nowMs() + STORED_TIMEOUT_MS;
    while (getNumber() > this.#stored && this.#clock.nowMs() < deadlineMs) {
      await this.#awaitChange(deadlineMs - this.#clock.nowMs());
    }
  }

  #awaitChange(timeoutMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = this.#clock.after(timeoutMs, resolve);
      this.#onStored = () => {
        timer.cancel();
        resolve();
      };
    });
  }
}
