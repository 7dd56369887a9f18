/** Stores which jobs have begun, so that every entry can count the other live jobs as waiting. */
import type { CellJobId } from "@coltsfootpond/policy";
import { putRow, type PutRowOptions } from "./state_rows/put_row.ts";
import { BEGUN_KEY, encodeRow } from "./rows.ts";

/** Used by the lease holder; writes the row only when the list has changed. */
export class BegunJobsWriter {
  readonly #options: PutRowOptions;
  #written = "";

  private constructor(options: PutRowOptions) {
    this.#options = options;
  }

  static create(options: PutRowOptions): BegunJobsWriter {
    return new BegunJobsWriter(options);
  }

  /** A failed write is retried at the next call. */
  async write(jobIds: readonly CellJobId[]): Promise<void> {
    const text = jobIds.join();
    if (text === this.#written) return;
    if (await putRow(this.#options, BEGUN_KEY, encodeRow({ jobIds }))) {
      this.#written = text;
    }
  }
}
