/** Goes on recording answers after their callers have been served, while the platform is away. */
import type { Clock } from "@coltsfootpond/common";
import {
  MAXIMUM_PENDING_RECORDS,
  MAXIMUM_RECORD_TRIES,
  RECORD_AGAIN_MS,
  RECORD_FLUSH_MS,
} from "./constants.ts";

/** One try at recording; true when it is done. */
export type RecordTry = () => Promise<boolean>;

/** Bounded in the records that wait and in the tries of each. */
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

  /** False when too many records wait already. */
  add(tryRecord: RecordTry): boolean {
    if (this.#pending.size >= MAXIMUM_PENDING_RECORDS) return false;
    const running = this.#run(tryRecord).finally(() =>
      this.#pending.delete(running)
    );
    this.#pending.add(running);
    return true;
  }

  /** Resolves when every record is written, or after a bounded time. */
  async flush(): Promise<void> {
    const written = Promise.all(this.#pending);
    await Promise.race([written, this.#clock.sleep(RECORD_FLUSH_MS)]);
  }

  async #run(tryRecord: RecordTry): Promise<void> {
    for (let tries = 0; tries < MAXIMUM_RECORD_TRIES; tries++) {
      if (await tryRecord().catch(() => false)) return;
      await this.#clock.sleep(RECORD_AGAIN_MS);
    }
  }
}
