/** Stores the classes of workers whose speed differs clearly from 1, for the next lease holder. */
import type { Clock } from "@coltsfootpond/common";
import { encodeRow, SPEEDS_KEY } from "../rows.ts";
import { putRow, type PutRowOptions } from "../state_rows/put_row.ts";
import { type ClassifiedWorker, createSpeedsRow } from "./speeds_row.ts";

/** Speeds change rarely, and a new holder can do without the latest ones. */
const MINIMUM_PERIOD_MS = 5_000;
/**
 * A row that has not changed is written again after this time, as a reader ignores rows older than
 * a minute.
 */
const REFRESH_PERIOD_MS = 30_000;

export interface SpeedsWriterOptions extends PutRowOptions {
  readonly clock: Clock;
  readonly nowUnixMs: () => number;
}

/** Used by the lease holder. */
export class SpeedsWriter {
  readonly #options: SpeedsWriterOptions;
  #written = "[]";
  /** What the store can't take; it is not written unchanged again. */
  #rejected: string | undefined;
  #triedMs = Number.NEGATIVE_INFINITY;
  #writtenMs = Number.NEGATIVE_INFINITY;

  private constructor(options: SpeedsWriterOptions) {
    this.#options = options;
  }

  static create(options: SpeedsWriterOptions): SpeedsWriter {
    return new SpeedsWriter(options);
  }

  /** Writes the row if it is due; a failed write is tried again after the least period. */
  async write(classified: readonly ClassifiedWorker[]): Promise<void> {
    const { clock, nowUnixMs } = this.#options;
    const nowMs = clock.nowMs();
    if (nowMs - this.#triedMs < MINIMUM_PERIOD_MS) return;
    const row = createSpeedsRow(classified, Math.round(nowUnixMs()));
    const text = JSON.stringify(row.workers);
    const isFresh = row.workers.length === 0 ||
      nowMs - this.#writtenMs < REFRESH_PERIOD_MS;
    if (text === this.#written && isFresh) return;
    this.#triedMs = nowMs;
    if (text === this.#rejected) return;
    const outcome = await putRow(this.#options, SPEEDS_KEY, encodeRow(row));
    if (outcome === "rejected") this.#rejected = text;
    if (outcome !== "stored") return;
    this.#written = text;
    this.#writtenMs = nowMs;
  }
}
