/**
 * Records the outcomes of calls in the background, without delaying their callers, and retries
 * while the table service is unavailable. Used by the deduplicate filter.
 */
import type { Clock } from "@coltsfootpond/common";
import {
  MAXIMUM_PENDING_RECORDS,
  MAXIMUM_RECORD_WRITES,
  RECORD_FLUSH_TIMEOUT_MS,
  RECORD_RETRY_DELAY_MS,
} from "./constants.ts";

/** Tries to write a record once; resolves with false when the write must be retried. */
export type RecordWrite = () => Promise<boolean>;

/**
 * Limits the number of pending records, and the number of times that each is tried. A record beyond
 * either limit is dropped.
 */
export class AnswerRecorder {
  readonly #clock: Clock;
  readonly #pending = new Set<Promise<void>>();

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): AnswerRecorder {
    return new AnswerRecorder(clock);
  }

  get pendingCount(): number {
    return this.#pending.size;
  }

  /** Returns false, and does not record, when too many records are pending. */
  add(writeRecord: RecordWrite): boolean {
    if (this.#pending.size >= MAXIMUM_PENDING_RECORDS) return false;
    const recording = this.#retryUntilRecorded(writeRecord).finally(() =>
      this.#pending.delete(recording)
    );
    this.#pending.add(recording);
    return true;
  }

  /** Waits for the records pending now, for at most `RECORD_FLUSH_TIMEOUT_MS`. */
  async flush(): Promise<void> {
    const allEnded = Promise.all(this.#pending);
    await Promise.race([allEnded, this.#clock.sleep(RECORD_FLUSH_TIMEOUT_MS)]);
  }

  async #retryUntilRecorded(writeRecord: RecordWrite): Promise<void> {
    for (let tries = 0; tries < MAXIMUM_RECORD_WRITES; tries++) {
      if (await writeRecord().catch(() => false)) return;
      await this.#clock.sleep(RECORD_RETRY_DELAY_MS);
    }
  }
}
