/** Deletes the rows of jobs that ended so long ago that callers no longer ask for their state. */
import type { StateRow, StateStore } from "@coltsfootpond/ports";
import { STORE_TIMEOUT_MS } from "./constants.ts";
import type { CellLog } from "./log.ts";
import { JOB_GROUPS, jobGroup, parseJobKey } from "./rows.ts";
import { readJobRow, readRefusalRow } from "./state_rows/row_readers.ts";
import type { TableFollower } from "./table_follower.ts";

/** Added to the required retention, for clocks that differ and callers that ask late. */
const RETENTION_MARGIN_MS = 60_000;
/**
 * Each row takes a condition and a deletion of the 100 entries that a transaction may have (the
 * platform's protocol).
 */
const ROWS_PER_TRANSACTION = 40;

export interface EndedJobCollectorOptions {
  readonly store: StateStore;
  readonly follower: TableFollower;
  readonly nowUnixMs: () => number;
  readonly log: CellLog;
  readonly retentionMs: number;
}

/** Searches one group of job rows at each call. */
export class EndedJobCollector {
  readonly #options: EndedJobCollectorOptions;
  #nextGroup = 0;

  private constructor(options: EndedJobCollectorOptions) {
    this.#options = options;
  }

  static create(options: EndedJobCollectorOptions): EndedJobCollector {
    return new EndedJobCollector(options);
  }

  /** Deletes old rows of the next group; a row that has changed since it was read stays. */
  async collect(): Promise<void> {
    const { store, follower, log } = this.#options;
    const group = JOB_GROUPS[this.#nextGroup % JOB_GROUPS.length] ?? "";
    this.#nextGroup++;
    const old = [...follower.rows()].filter((row) =>
      jobGroup(row.key) === group && this.#isOld(row)
    ).slice(0, ROWS_PER_TRANSACTION);
    if (old.length === 0) return;
    const outcome = await store.transact({
      conditions: old.map(({ key, version }) => ({ key, version })),
      puts: [],
      deletes: old.map(({ key }) => key),
    }, STORE_TIMEOUT_MS);
    log.info("jobs.forgotten", { rows: old.length, outcome: outcome.kind });
    if (outcome.kind !== "committed") return;
    const { version } = outcome;
    follower.apply(old.map(({ key }) => ({ key, version, value: undefined })));
  }

  /** A row that cannot be decoded stays, so that its job is not submitted again. */
  #isOld(row: StateRow): boolean {
    const endedUnixMs = this.#findEndedUnixMs(row);
    if (endedUnixMs === undefined) return false;
    const { retentionMs, nowUnixMs } = this.#options;
    return nowUnixMs() - endedUnixMs > retentionMs + RETENTION_MARGIN_MS;
  }

  #findEndedUnixMs(row: StateRow): number | undefined {
    const { follower } = this.#options;
    const jobId = parseJobKey(row.key);
    if (jobId === undefined) return readRefusalRow(follower, row)?.endedUnixMs;
    const job = readJobRow(follower, jobId, row);
    switch (job?.kind) {
      case "ended":
      case "barred":
        return job.endedUnixMs;
      case "live":
      case "unreadable":
      case undefined:
        return undefined;
    }
  }
}
