/**
 * Reads all the rows that the controllers watch by one call per period. Controllers list their keys
 * and receive the rows; none of them polls by itself.
 */
import type { Clock, EventSink, Timer } from "@coltsfootpond/common";
import type { TablePort, TableRow } from "@coltsfootpond/ports";
import { STATE_CALL_TIMEOUT_MS, STATE_POLL_PERIOD_MS } from "../constants.ts";
import type { Controller } from "../types.ts";

/** One successful read. */
export interface RowSnapshot {
  /** When the read was sent: the rows are at least as new. */
  readonly startedMs: number;
  readonly answeredMs: number;
  /** The row; undefined when it is absent or was not read. */
  get(key: string): TableRow | undefined;
  /** Whether the key was read. */
  has(key: string): boolean;
}

/** A controller's part of the read. */
export interface RowSubscription {
  listKeys(): readonly string[];
  /** Called after each successful read; the snapshot may lack keys listed since it was sent. */
  applySnapshot(snapshot: RowSnapshot): void;
  /** Called after each failed read. */
  onReadFailed?(): void;
}

export interface RowWatcherOptions {
  readonly table: TablePort;
  readonly clock: Clock;
  readonly events: EventSink;
}

export class RowWatcher implements Controller {
  readonly name = "row_watcher";
  readonly #options: RowWatcherOptions;
  readonly #subscriptions: RowSubscription[] = [];
  #timer: Timer | undefined;
  #running: Promise<boolean> | undefined;
  #next: Promise<boolean> | undefined;
  #readable = false;

  private constructor(options: RowWatcherOptions) {
    this.#options = options;
  }

  static create(options: RowWatcherOptions): RowWatcher {
    return new RowWatcher(options);
  }

  add(subscription: RowSubscription): void {
    this.#subscriptions.push(subscription);
  }

  /** Whether the last read succeeded. */
  isReadable(): boolean {
    return this.#readable;
  }

  async start(): Promise<void> {
    this.#timer = this.#options.clock.every(
      STATE_POLL_PERIOD_MS,
      () => void this.#run(),
    );
    await this.refresh();
  }

  stop(): Promise<void> {
    this.#timer?.cancel();
    return Promise.resolve();
  }

  /**
   * Resolves after a read that was sent after this call; calls during a read share the next one.
   * False when the table service did not answer.
   */
  refresh(): Promise<boolean> {
    const running = this.#running;
    if (running === undefined) return this.#run();
    this.#next ??= running.then(() => {
      this.#next = undefined;
      return this.#run();
    });
    return this.#next;
  }

  #run(): Promise<boolean> {
    this.#running ??= this.#read().finally(() => this.#running = undefined);
    return this.#running;
  }

  async #read(): Promise<boolean> {
    const { clock, table } = this.#options;
    const keys = [
      ...new Set(
        this.#subscriptions.flatMap((subscription) => subscription.listKeys()),
      ),
    ];
    const startedMs = clock.nowMs();
    const outcome = await table.read(keys, {
      timeoutMs: STATE_CALL_TIMEOUT_MS,
    });
    if (outcome.kind === "unavailable") {
      this.#setReadable(false, outcome.reason);
      for (const subscription of this.#subscriptions) {
        subscription.onReadFailed?.();
      }
      return false;
    }
    this.#setReadable(true);
    const rows = new Map(outcome.rows.map((row) => [row.key, row]));
    const readKeys = new Set(keys);
    const snapshot: RowSnapshot = {
      startedMs,
      answeredMs: clock.nowMs(),
      get: (key) => rows.get(key),
      has: (key) => readKeys.has(key),
    };
    for (const subscription of this.#subscriptions) {
      subscription.applySnapshot(snapshot);
    }
    return true;
  }

  #setReadable(readable: boolean, reason?: string): void {
    if (this.#readable === readable) return;
    this.#readable = readable;
    const event = readable ? "table.reachable" : "table.unreachable";
    this.#options.events.emit(event, {}, reason);
  }
}
