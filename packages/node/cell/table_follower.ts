/**
 * A copy of one table of the store, kept up to date by long polls of the store's change feed. Stale
 * answers are skipped, so that the copy never goes back to an older version. When the store no
 * longer has the history after the copy, the whole table is read again. Each poll asks for the
 * changes after the newest one received, never after the version of an empty answer: a feed that
 * lags also answers empty, and the store reports lost history only when asked for dropped changes.
 */
import type { Clock, Random } from "@coltsfootpond/common";
import type { StateRow, StateStore, StoreTable } from "@coltsfootpond/ports";
import { Subject, type Subscription } from "rxjs";
import {
  BACKGROUND_ACTIVITY,
  type BackgroundActivity,
} from "./background/activities.ts";
import {
  keepRunning,
  subscribeGuarded,
} from "./background/run_in_background.ts";
import type { CellLog } from "./log.ts";
import { UnreadableRows } from "./state_rows/unreadable_rows.ts";

/** Wait of one long poll; bounds how long a silent connection stays undetected. */
const LONG_POLL_MS = 900;
/** Time-out beyond the wait, for the network and a slow store. */
const LONG_POLL_MARGIN_MS = 450;
/** Delay between tries at a store that does not answer, doubled up to the maximum. */
const MINIMUM_RETRY_DELAY_MS = 50;
const MAXIMUM_RETRY_DELAY_MS = 400;
/**
 * Enough for a whole table through a peer: 1 MB over two links of 10 Mbit/s, one after the other.
 */
const TABLE_READ_TIMEOUT_MS = 2_000;
/**
 * Factor between the duration of a read and the pause after it: periodic reads take at most a
 * quarter of the time, however large the table and slow the link.
 */
const READ_INTERVAL_FACTOR = 3;

/** Newest version of the store in any answer to this process. */
export class SeenVersion {
  #newest = 0;

  private constructor() {}

  static create(): SeenVersion {
    return new SeenVersion();
  }

  get newest(): number {
    return this.#newest;
  }

  update(version: number): void {
    this.#newest = Math.max(this.#newest, version);
  }
}

export interface TableFollowerOptions {
  readonly table: StoreTable;
  /** Shared by the process's followers: an answer older than this was at its request is stale. */
  readonly seen: SeenVersion;
  /**
   * Whether the table changes within each long poll in normal operation, so that an empty answer
   * means that the feed may lag and the whole table must be read.
   */
  readonly expectsChanges?: boolean;
  /** Delay before the next poll, so that it returns several changes; none when left out. */
  readonly getDelayMs?: () => number;
  /** Period of reads of the whole table besides the feed, which may lag; none when left out. */
  readonly readPeriodMs?: number;
  readonly store: StateStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: CellLog;
}

/** Follows one table; `apply` adds rows that this process wrote or read itself. */
export class TableFollower {
  /** Changed rows, deletions included, in the order of their versions. */
  readonly changes = new Subject<readonly StateRow[]>();
  /** Rows of the copy that their readers could not decode. */
  readonly unreadable: UnreadableRows;
  readonly #options: TableFollowerOptions;
  readonly #rows = new Map<string, StateRow>();
  /** All changes up to this version have been received. */
  #cursor = 0;
  #isLoaded = false;
  #isStopped = false;
  #needsRead = false;
  #lastReadMs = 0;
  #readDurationMs = 0;
  #lastAnswerMs = Number.NEGATIVE_INFINITY;
  #retryMs = MINIMUM_RETRY_DELAY_MS;

  private constructor(options: TableFollowerOptions) {
    this.#options = options;
    this.unreadable = UnreadableRows.create(options);
  }

  static create(options: TableFollowerOptions): TableFollower {
    return new TableFollower(options);
  }

  /** The copy contains all changes up to this version. */
  get version(): number {
    return this.#cursor;
  }

  /** Newest version of the store in any answer to this process. */
  get newestSeenVersion(): number {
    return this.#options.seen.newest;
  }

  /** Whether the whole table has been read and the store still has the history after the copy. */
  get isLoaded(): boolean {
    return this.#isLoaded;
  }

  /** When the last answer of the store was applied, on the process's clock. */
  get lastAnswerMs(): number {
    return this.#lastAnswerMs;
  }

  /** The row, or undefined when there is none. */
  get(key: string): StateRow | undefined {
    const row = this.#rows.get(key);
    return row?.value === undefined ? undefined : row;
  }

  /** All rows that exist. */
  *rows(): IterableIterator<StateRow & { readonly value: Uint8Array }> {
    for (const row of this.#rows.values()) {
      if (row.value !== undefined) yield { ...row, value: row.value };
    }
  }

  /** Calls `apply` with the rows of each change. Its errors are reported and stop nothing. */
  onChanged(
    activity: BackgroundActivity,
    apply: (rows: readonly StateRow[]) => void,
  ): Subscription {
    return subscribeGuarded(this.changes, this.#options.log, activity, apply);
  }

  /** Applies rows that this process has just written or read itself. */
  apply(rows: readonly StateRow[]): void {
    rows.forEach(({ version }) => this.#options.seen.update(version));
    const changed = rows.filter((row) => this.#applyRow(row));
    if (changed.length > 0) this.changes.next(changed);
  }

  /**
   * Applies rows of a peer's copy of any age: only newer versions of rows that this copy has, as
   * the others may have been deleted since.
   */
  applyNewer(rows: readonly StateRow[]): void {
    const changed = rows.filter((row) =>
      this.#rows.get(row.key)?.value !== undefined && this.#applyRow(row)
    );
    if (changed.length > 0) this.changes.next(changed);
  }

  stop(): void {
    this.#isStopped = true;
    this.changes.complete();
  }

  /** Reads the whole table once. Returns whether the read succeeded and the copy has `version`. */
  async reload(version: number): Promise<boolean> {
    return await this.#load() && this.#cursor >= version;
  }

  /** Follows the table until stopped; goes on after an error. */
  run(): Promise<void> {
    return keepRunning({
      ...this.#options,
      activity: BACKGROUND_ACTIVITY.FOLLOW_TABLE,
      isStopped: () => this.#isStopped,
    }, () => this.#followUntilStopped());
  }

  async #followUntilStopped(): Promise<void> {
    while (!this.#isStopped) {
      const isProgress = this.#isLoaded && !this.#isReadDue()
        ? await this.#follow()
        : await this.#load();
      if (isProgress) {
        this.#retryMs = MINIMUM_RETRY_DELAY_MS;
        const delayMs = this.#options.getDelayMs?.() ?? 0;
        if (delayMs > 0) await this.#options.clock.sleep(delayMs);
        continue;
      }
      const jitter = 0.5 + this.#options.random.next();
      await this.#options.clock.sleep(this.#retryMs * jitter);
      this.#retryMs = Math.min(MAXIMUM_RETRY_DELAY_MS, this.#retryMs * 2);
    }
  }

  #isReadDue(): boolean {
    const { readPeriodMs, clock } = this.#options;
    if (this.#needsRead) return true;
    if (readPeriodMs === undefined) return false;
    const delayMs = Math.max(
      readPeriodMs,
      READ_INTERVAL_FACTOR * this.#readDurationMs,
    );
    return clock.nowMs() - this.#lastReadMs >= delayMs;
  }

  async #load(): Promise<boolean> {
    const { store, table, log, seen, clock } = this.#options;
    const newestBefore = seen.newest;
    const requestedMs = clock.nowMs();
    const outcome = await store.read(table, {}, TABLE_READ_TIMEOUT_MS);
    if (this.#isStopped) return false;
    if (outcome.kind === "unavailable") {
      log.warn("store.read_failed", { table, ...outcome });
      return false;
    }
    if (this.#isStale(outcome.version, newestBefore)) return false;
    this.#lastReadMs = clock.nowMs();
    this.#readDurationMs = this.#lastReadMs - requestedMs;
    this.#needsRead = false;
    const presentKeys = new Set(outcome.rows.map(({ key }) => key));
    const deletedRows = [...this.#rows.values()].filter((row) =>
      row.value !== undefined && row.version <= outcome.version &&
      !presentKeys.has(row.key)
    ).map(({ key }) => ({ key, version: outcome.version, value: undefined }));
    const wasLoaded = this.#isLoaded;
    this.#isLoaded = true;
    // Groups are read one after another: between this version and that of the newest row there may
    // be changes of groups that were read before.
    this.#cursor = Math.max(this.#cursor, outcome.version);
    this.#applyAnswer(outcome.version, [...outcome.rows, ...deletedRows]);
    if (!wasLoaded) {
      log.info("store.table_read", {
        table,
        rows: outcome.rows.length,
        version: outcome.version,
      });
    }
    return true;
  }

  async #follow(): Promise<boolean> {
    const { store, table, log, seen } = this.#options;
    const newestBefore = seen.newest;
    const outcome = await store.follow(
      table,
      this.#cursor,
      LONG_POLL_MS,
      LONG_POLL_MS + LONG_POLL_MARGIN_MS,
    );
    if (this.#isStopped) return false;
    switch (outcome.kind) {
      case "unavailable":
        log.warn("store.follow_failed", { table, ...outcome });
        // Reads may be answered although long polls are not.
        this.#needsRead = true;
        return false;
      case "history_lost":
        log.info("store.history_lost", { table, version: this.#cursor });
        this.#isLoaded = false;
        return true;
      case "rows":
        if (this.#isStale(outcome.version, newestBefore)) return false;
        for (const { version } of outcome.rows) {
          this.#cursor = Math.max(this.#cursor, version);
        }
        this.#applyAnswer(outcome.version, outcome.rows);
        this.#needsRead = outcome.rows.length === 0 &&
          this.#options.expectsChanges === true;
        return true;
    }
  }

  /** Whether an answer is older than the newest version seen before the request. */
  #isStale(version: number, newestBefore: number): boolean {
    if (version >= newestBefore) return false;
    const { table, log } = this.#options;
    log.warn("store.stale_answer", { table, version, known: newestBefore });
    return true;
  }

  /** Applies the changed rows of an answer at `version`. */
  #applyAnswer(version: number, rows: readonly StateRow[]): void {
    this.#options.seen.update(version);
    this.#lastAnswerMs = this.#options.clock.nowMs();
    const changed = rows.filter((row) => this.#applyRow(row));
    this.#removeTombstones(rows);
    if (changed.length > 0) this.changes.next(changed);
  }

  /**
   * Keeps the newer of two versions of a row. A deleted row stays as a tombstone, so that an older
   * version does not restore it, until an answer of the store includes the row. Returns whether the
   * row changed.
   */
  #applyRow(row: StateRow): boolean {
    const known = this.#rows.get(row.key);
    if (known !== undefined && known.version >= row.version) return false;
    this.#rows.set(row.key, row);
    this.unreadable.forget(row.key);
    return known?.value !== undefined || row.value !== undefined;
  }

  #removeTombstones(rows: readonly StateRow[]): void {
    for (const { key } of rows) {
      const known = this.#rows.get(key);
      if (known?.value === undefined && known !== undefined) {
        this.#rows.delete(key);
      }
    }
  }
}
