/**
 * Records answers in the background after their callers were served, and retries while the platform
 * is unavailable. Used by the deduplicate filter.
 */
import type { Clock } from "@coltsfootpond/common";
import {
  MAXIMUM_PENDING_RECORDS,
  MAXIMUM_RECORD_WRITES,
  RECORD_FLUSH_TIMEOUT_MS,
  RECORD_RETRY_DELAY_MS,
} from "./constants.ts";

/** Writes the record once; resolves with false when the write must be retried. */
export type RecordWrite = () => Promise<boolean>;

/** Limits the pending records and the writes of each; beyond that a record is dropped. */
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
    const running = this.#retryUntilRecorded(writeRecord).finally(() =>
      this.#pending.delete(running)
    );
    this.#pending.add(running);
    return true;
  }

  /** Resolves when every pending record is written, or after `RECORD_FLUSH_TIMEOUT_MS`. */
  async flush(): Promise<void> {
    const written = Promise.all(this.#pending);
    await Promise.race([written, this.#clock.sleep(RECORD_FLUSH_TIMEOUT_MS)]);
  }

  async #retryUntilRecorded(writeRecord: RecordWrite): Promise<void> {
    for (let writes = 0; writes < MAXIMUM_RECORD_WRITES; writes++) {
      if (await writeRecord().catch(() => false)) return;
      await this.#clock.sleep(RECORD_RETRY_DELAY_MS);
    }
  }
}
