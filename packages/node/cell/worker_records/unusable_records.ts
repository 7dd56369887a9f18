/**
 * Which records in the workers' table name no worker to use, and why. A table that other writers
 * fill is logged in a bounded number of lines.
 */
import type { Clock } from "@coltsfootpond/common";
import type { CellLog } from "../log.ts";

/** The field because of which a record is not used, and what it should be. */
export interface RecordProblem {
  readonly field: string;
  readonly expected: string;
}

/** Records of which a line was written are known individually up to this number. */
const MAXIMUM_LOGGED_RECORDS = 100;
const LINES_PER_PERIOD = 100;
const PERIOD_MS = 60_000;

export interface UnusableRecordsOptions {
  readonly clock: Clock;
  readonly log: CellLog;
}

/** Logs when a record is first ignored and when it is usable again. */
export class UnusableRecords {
  readonly #options: UnusableRecordsOptions;
  /** Problems by key of the ignored records of which a line was written. */
  readonly #logged = new Map<string, RecordProblem>();
  #problems: ReadonlyMap<string, RecordProblem> = new Map();
  #periodStartMs: number;
  #lines = 0;
  #suppressedLines = 0;

  private constructor(options: UnusableRecordsOptions) {
    this.#options = options;
    this.#periodStartMs = options.clock.nowMs();
  }

  static create(options: UnusableRecordsOptions): UnusableRecords {
    return new UnusableRecords(options);
  }

  /** Number of records that are ignored now. */
  get count(): number {
    return this.#problems.size;
  }

  has(key: string): boolean {
    return this.#problems.has(key);
  }

  /** Applies one read of the table. */
  update(
    problems: ReadonlyMap<string, RecordProblem>,
    usableKeys: ReadonlySet<string>,
  ): void {
    const { log } = this.#options;
    this.#problems = problems;
    this.#beginPeriodIfDue();
    for (const key of [...this.#logged.keys()]) {
      if (problems.has(key)) continue;
      this.#logged.delete(key);
      if (!usableKeys.has(key) || !this.#mayWrite()) continue;
      log.info("worker.record_usable", { key });
    }
    for (const [key, problem] of problems) {
      const known = this.#logged.get(key);
      if (known?.field === problem.field) continue;
      const isFull = known === undefined &&
        this.#logged.size >= MAXIMUM_LOGGED_RECORDS;
      if (isFull) this.#suppressedLines++;
      if (isFull || !this.#mayWrite()) continue;
      this.#logged.set(key, problem);
      log.warn("worker.record_ignored", { key, ...problem });
    }
  }

  /** False when the period's lines are used up. */
  #mayWrite(): boolean {
    if (this.#lines >= LINES_PER_PERIOD) {
      this.#suppressedLines++;
      return false;
    }
    this.#lines++;
    return true;
  }

  #beginPeriodIfDue(): void {
    const { clock, log } = this.#options;
    if (clock.nowMs() - this.#periodStartMs < PERIOD_MS) return;
    if (this.#suppressedLines > 0) {
      log.warn("workers.records_ignored", { records: this.#problems.size });
    }
    this.#periodStartMs = clock.nowMs();
    this.#lines = 0;
    this.#suppressedLines = 0;
  }
}
