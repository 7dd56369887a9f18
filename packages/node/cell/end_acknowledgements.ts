/**
 * Tracks up to which sequence number the run ends that one worker lists are stored, and up to which
 * they are acknowledged to the worker.
 */
import type { Clock } from "@coltsfootpond/common";

/**
 * A worker answers a long poll at once while it lists ends that are not acknowledged. Waiting until
 * the ends are stored, so that the next poll acknowledges them, avoids polling the worker in a
 * tight loop.
 */
const STORED_TIMEOUT_MS = 400;

/** Sequence numbers of ends start anew with each incarnation of the worker. */
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

  /** Ends up to this sequence number are stored; the worker may delete them. */
  get storedSequence(): number {
    return this.#stored;
  }

  /** Whether the worker keeps ends that it could delete. */
  get isAcknowledgementDue(): boolean {
    return this.#stored > this.#acknowledged;
  }

  setStored(sequence: number): void {
    this.#stored = Math.max(this.#stored, sequence);
    this.#onStored?.();
  }

  setAcknowledged(sequence: number): void {
    this.#acknowledged = Math.max(this.#acknowledged, sequence);
  }

  /** Starts anew for a new incarnation of the worker. */
  reset(): void {
    this.#stored = 0;
    this.#acknowledged = 0;
  }

  /** Waits up to `STORED_TIMEOUT_MS` until ends up to `getSequence()` are stored. */
  async awaitStored(getSequence: () => number): Promise<void> {
    const deadlineMs = this.#clock.nowMs() + STORED_TIMEOUT_MS;
    while (getSequence() > this.#stored && this.#clock.nowMs() < deadlineMs) {
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
