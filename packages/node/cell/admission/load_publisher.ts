/**
 * Publishes the load of the cell for the entries, which decide by it on submitted jobs. Run by the
 * lease holder. The row is written only while a service has a backlog, and once after that.
 */
import type { Clock } from "@coltsfootpond/common";
import type { LiveJob } from "../live_job.ts";
import { encodeRow, LEASE_KEY, LOAD_KEY } from "../rows.ts";
import { putRow, type PutRowOptions } from "../state_rows/put_row.ts";
import { readLeaseRow } from "../state_rows/row_readers.ts";
import { LoadCollector, type LoadCollectorOptions } from "./load_collector.ts";

/** Period of the publication: a wrong forecast is corrected within one. */
export const LOAD_PERIOD_MS = 500;
/**
 * An unchanged row is written again after this time while there is a backlog; entries ignore it
 * after three times as long.
 */
const REFRESH_MS = 1_000;

export interface LoadPublisherOptions
  extends PutRowOptions, LoadCollectorOptions {
  readonly epoch: number;
  readonly clock: Clock;
}

/** Writes the row of one epoch. */
export class LoadPublisher {
  readonly collector: LoadCollector;
  readonly #options: LoadPublisherOptions;
  #written = JSON.stringify({ services: [], queues: [] });
  #writtenMs = Number.NEGATIVE_INFINITY;
  #isWriting = false;
  /** What the store can't take; it is not written unchanged again. */
  #rejected: string | undefined;

  private constructor(options: LoadPublisherOptions) {
    this.#options = options;
    this.collector = LoadCollector.create(options);
  }

  static create(options: LoadPublisherOptions): LoadPublisher {
    return new LoadPublisher(options);
  }

  /** Writes the row if it has changed or must be refreshed; a failed write is retried next time. */
  async publish(jobs: readonly LiveJob[]): Promise<void> {
    const forecast = this.collector.computeForecast(jobs);
    const text = JSON.stringify(forecast);
    const nowMs = this.#options.clock.nowMs();
    const isDue = forecast.services.length > 0 &&
      nowMs - this.#writtenMs >= REFRESH_MS;
    if (this.#isWriting || text === this.#written && !isDue) return;
    if (text === this.#rejected) return;
    this.#isWriting = true;
    const { epoch } = this.#options;
    const row = { ...forecast, epoch, beat: this.#readBeat() };
    const outcome = await putRow(this.#options, LOAD_KEY, encodeRow(row));
    if (outcome === "rejected") this.#rejected = text;
    if (outcome === "stored") {
      this.#written = text;
      this.#writtenMs = nowMs;
    }
    this.#isWriting = false;
  }

  #readBeat(): number {
    const { follower } = this.#options;
    return readLeaseRow(follower, follower.get(LEASE_KEY))?.beat ?? 0;
  }
}
