/**
 * Stores which jobs have begun, so that every entry can count the other live jobs as waiting. The
 * list is in rows of bounded size. A job stays in its row, so that a change rewrites one row only.
 */
import type { CellJobId } from "@coltsfootpond/policy";
import { putRow, type PutRowOptions } from "./state_rows/put_row.ts";
import { encodeRow, formatBegunKey, parseBegunKey } from "./rows.ts";

/** Share of the store's limit that is used, as the limit may count the base64 form. */
const USED_SHARE = 0.5;
/** Bytes of a row without jobs, rounded up. */
const ROW_BYTES = 32;
/** Bytes of a job's id, rounded up. */
const JOB_BYTES = 18;

export interface BegunJobsWriterOptions extends PutRowOptions {
  /** The store's limit of the value of a row. */
  readonly rowLimitBytes: number;
}

/** Used by the lease holder; writes a row only when its list has changed. */
export class BegunJobsWriter {
  readonly #options: BegunJobsWriterOptions;
  readonly #jobsPerRow: number;
  readonly #rowByJob = new Map<CellJobId, number>();
  /** Number of jobs in each row. */
  readonly #counts = new Map<number, number>();
  /** Lists by key, as they were last stored or rejected. */
  readonly #written = new Map<string, string>();

  /** The whole list, once all its rows are stored or rejected. */
  #settled: string | undefined;

  private constructor(options: BegunJobsWriterOptions) {
    this.#options = options;
    const bytes = options.rowLimitBytes * USED_SHARE - ROW_BYTES;
    this.#jobsPerRow = Math.max(1, Math.floor(bytes / JOB_BYTES));
  }

  static create(options: BegunJobsWriterOptions): BegunJobsWriter {
    return new BegunJobsWriter(options);
  }

  /** A failed write is retried at the next call. */
  async write(jobIds: readonly CellJobId[]): Promise<void> {
    const text = jobIds.join();
    if (text === this.#settled) return;
    this.#assign(jobIds);
    const lists = new Map<string, CellJobId[]>();
    for (const key of this.#listStoredKeys()) lists.set(key, []);
    for (const jobId of jobIds) {
      const key = formatBegunKey(this.#rowByJob.get(jobId) ?? 0);
      const list = lists.get(key) ?? [];
      list.push(jobId);
      lists.set(key, list);
    }
    const outcomes = await Promise.all(
      [...lists].map(([key, list]) => this.#writeRow(key, list)),
    );
    if (outcomes.every((isSettled) => isSettled)) this.#settled = text;
  }

  /** False when the row has to be written again. */
  async #writeRow(
    key: string,
    jobIds: readonly CellJobId[],
  ): Promise<boolean> {
    const text = jobIds.join();
    if (text === this.#written.get(key)) return true;
    const isFirst = !this.#written.has(key);
    const isUnknown = this.#options.follower.get(key) === undefined;
    if (isFirst && isUnknown && jobIds.length === 0) return true;
    const outcome = await putRow(this.#options, key, encodeRow({ jobIds }));
    if (outcome === "failed") return false;
    this.#written.set(key, text);
    return true;
  }

  /** Puts new jobs into the first rows with room; the others stay. */
  #assign(jobIds: readonly CellJobId[]): void {
    const begun = new Set(jobIds);
    for (const [jobId, row] of [...this.#rowByJob]) {
      if (begun.has(jobId)) continue;
      this.#rowByJob.delete(jobId);
      this.#counts.set(row, this.#countJobs(row) - 1);
    }
    let row = 0;
    for (const jobId of begun) {
      if (this.#rowByJob.has(jobId)) continue;
      while (this.#countJobs(row) >= this.#jobsPerRow) row++;
      this.#rowByJob.set(jobId, row);
      this.#counts.set(row, this.#countJobs(row) + 1);
    }
  }

  #countJobs(row: number): number {
    return this.#counts.get(row) ?? 0;
  }

  /** Keys of rows that this holder or an earlier one has written. */
  #listStoredKeys(): readonly string[] {
    const keys = [formatBegunKey(0), ...this.#written.keys()];
    for (const { key } of this.#options.follower.rows()) {
      if (parseBegunKey(key) !== undefined) keys.push(key);
    }
    return keys;
  }
}
