/**
 * Rows of the state table that this entry cannot decode. Their readers skip them; here each version
 * of one is logged once, and those present are counted.
 */
import type { Clock } from "@coltsfootpond/common";
import type { StateRow } from "@coltsfootpond/ports";
import type { CellLog } from "../log.ts";

export type StateRowKind =
  | "begun"
  | "job"
  | "lease"
  | "peer"
  | "progress"
  | "refusal";

/** Returned by readers of rows in place of a row that cannot be decoded. */
export interface UnreadableRow {
  readonly kind: "unreadable";
}

/** Keys that are remembered; the oldest is forgotten first and may be logged again. */
export const MAXIMUM_KEYS = 1_000;
/** A writer may add a new key every moment. */
export const MAXIMUM_LINES_PER_PERIOD = 100;
export const LINE_PERIOD_MS = 60_000;

export interface UnreadableRowsOptions {
  readonly clock: Clock;
  readonly log: CellLog;
}

/** Collects the unreadable rows of one copy of the table. */
export class UnreadableRows {
  readonly #options: UnreadableRowsOptions;
  /** Version by key. */
  readonly #versions = new Map<string, number>();
  #periodStartMs = Number.NEGATIVE_INFINITY;
  #lines = 0;
  #omittedLines = 0;

  private constructor(options: UnreadableRowsOptions) {
    this.#options = options;
  }

  static create(options: UnreadableRowsOptions): UnreadableRows {
    return new UnreadableRows(options);
  }

  /** Number of unreadable rows in the table, up to `MAXIMUM_KEYS`. */
  get count(): number {
    return this.#versions.size;
  }

  /** Records that a reader has skipped the row. */
  report(kind: StateRowKind, { key, version }: StateRow): void {
    if (this.#versions.get(key) === version) return;
    // The key becomes the newest one.
    this.#versions.delete(key);
    this.#versions.set(key, version);
    const [oldest] = this.#versions.keys();
    if (this.#versions.size > MAXIMUM_KEYS && oldest !== undefined) {
      this.#versions.delete(oldest);
    }
    this.#logLine(kind, key, version);
  }

  /** The row has changed; its readers report it again if it is still unreadable. */
  forget(key: string): void {
    this.#versions.delete(key);
  }

  #logLine(kind: StateRowKind, key: string, version: number): void {
    const { clock, log } = this.#options;
    const nowMs = clock.nowMs();
    if (nowMs - this.#periodStartMs >= LINE_PERIOD_MS) {
      this.#periodStartMs = nowMs;
      this.#lines = 0;
    }
    if (this.#lines >= MAXIMUM_LINES_PER_PERIOD) {
      this.#omittedLines++;
      return;
    }
    this.#lines++;
    const omitted = this.#omittedLines;
    this.#omittedLines = 0;
    log.warn("row.unreadable", {
      key,
      kind,
      version,
      ...(omitted === 0 ? {} : { omittedLines: omitted }),
    });
  }
}
