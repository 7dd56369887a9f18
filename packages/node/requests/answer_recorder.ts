/**
 * Records the outcomes of calls in the background, without delaying their callers, and retries
 * while the table service is unavailable. Used by the deduplicate filter.
 */
import type { Clock, EventSink, EventSubject } from "@coltsfootpond/common";
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
 * either limit is dropped, with an event `answer.record_dropped`.
 */
export class AnswerRecorder {
  readonly #clock: Clock;
  readonly #events: EventSink;
  readonly #pending = new Set<Promise<void>>();

  private constructor(clock: Clock, events: EventSink) {
    this.#clock = clock;
    this.#events = events;
  }

  static create(clock: Clock, events: EventSink): AnswerRecorder {
    return new AnswerRecorder(clock, events);
  }

  get pendingCount(): number {
    return this.#pending.size;
  }

  /**
   * Returns false, and does not record, when too many records are pending. `subject` names the
   * request in the event.
   */
  add(subject: EventSubject, writeRecord: RecordWrite): boolean {
    if (this.#pending.size >= MAXIMUM_PENDING_RECORDS) {
      this.#emitDropped(subject, "too many records are pending");
      return false;
    }
    const recording = this.#retryUntilRecorded(subject, writeRecord).finally(
      () => this.#pending.delete(recording),
    );
    this.#pending.add(recording);
    return true;
  }

  /** Waits for the records pending now, for at most `RECORD_FLUSH_TIMEOUT_MS`. */
  async flush(): Promise<void> {
    const allEnded = Promise.all(this.#pending);
    await Promise.race([allEnded, this.#clock.sleep(RECORD_FLUSH_TIMEOUT_MS)]);
  }

  async #retryUntilRecorded(
    subject: EventSubject,
    writeRecord: RecordWrite,
  ): Promise<void> {
    for (let tries = 0; tries < MAXIMUM_RECORD_WRITES; tries++) {
      if (await writeRecord().catch(() => false)) return;
      await this.#clock.sleep(RECORD_RETRY_DELAY_MS);
    }
    this.#emitDropped(subject, `not written in ${MAXIMUM_RECORD_WRITES} tries`);
  }

  #emitDropped(subject: EventSubject, reason: string): void {
    this.#events.emit("answer.record_dropped", subject, reason);
  }
}
