/** Stores which jobs have begun, so that every entry can count the other live jobs as waiting. */
import type { CellJobId } from "@coltsfootpond/policy";
import type { StateStore } from "@coltsfootpond/ports";
import type { CellLog } from "./log.ts";
import { BEGUN_KEY, encodeRow } from "./rows.ts";
import { putRow } from "./worker_fleet.ts";

export interface BegunJobsWriterOptions {
  readonly store: StateStore;
  readonly log: CellLog;
}

/** Used by the lease holder; writes the row only when the list has changed. */
export class BegunJobsWriter {
  readonly #options: BegunJobsWriterOptions;
  #written = "";

  private constructor(options: BegunJobsWriterOptions) {
    this.#options = options;
  }

  static create(options: BegunJobsWriterOptions): BegunJobsWriter {
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
