/**
 * The load that the lease holder has published, as this entry sees it. The wall clocks of VMs
 * differ, so the age of the row is measured on this process's clock from when the row was received,
 * and by the renewals of the lease since it was written, for a row that was received late.
 */
import type { Clock } from "@coltsfootpond/common";
import type { LoadForecast } from "@coltsfootpond/policy";
import type { StateRow } from "@coltsfootpond/ports";
import { RENEW_PERIOD_MS } from "../lease/lease_times.ts";
import { BACKGROUND_ACTIVITY } from "../background/activities.ts";
import type { CellLog } from "../log.ts";
import { LEASE_KEY, type LeaseRow, LOAD_KEY, type LoadRow } from "../rows.ts";
import { decodeLoadRow } from "../state_rows/load_row.ts";
import { readLeaseRow } from "../state_rows/row_readers.ts";
import type { TableFollower } from "../table_follower.ts";

/** An older row says too little about the present: most urgent tasks run for less than this. */
export const MAXIMUM_LOAD_AGE_MS = 3_000;

export interface PublishedLoadOptions {
  readonly follower: TableFollower;
  readonly clock: Clock;
  readonly log: CellLog;
  /** How long the store has been down; 0 while it answers. */
  readonly getStoreDownMs: () => number;
}

/** A row that is recent enough to decide by. */
export interface UsableLoad {
  readonly forecast: LoadForecast;
  readonly ageMs: number;
  readonly version: number;
  readonly epoch: number;
}

interface ReceivedRow {
  readonly row: LoadRow;
  readonly version: number;
  readonly receivedMs: number;
}

/** Follows the load row and the lease row. */
export class PublishedLoad {
  readonly #options: PublishedLoadOptions;
  #received: ReceivedRow | undefined;
  #lease: LeaseRow | undefined;

  private constructor(options: PublishedLoadOptions) {
    this.#options = options;
    options.follower.onChanged(
      BACKGROUND_ACTIVITY.APPLY_LOAD_ROW,
      (rows) => this.#applyRows(rows),
    );
  }

  static create(options: PublishedLoadOptions): PublishedLoad {
    return new PublishedLoad(options);
  }

  /** Undefined if the row is missing, unreadable, old or not of the present lease holder. */
  get usable(): UsableLoad | undefined {
    const received = this.#received;
    const lease = this.#lease;
    if (received === undefined || lease === undefined) return undefined;
    const { row, version, receivedMs } = received;
    if (lease.isReleased || lease.epoch !== row.epoch) return undefined;
    if (this.#options.getStoreDownMs() > 0) return undefined;
    const ageMs = Math.max(
      this.#options.clock.nowMs() - receivedMs,
      (lease.beat - row.beat) * RENEW_PERIOD_MS,
    );
    if (ageMs > MAXIMUM_LOAD_AGE_MS) return undefined;
    return { forecast: row, ageMs, version, epoch: row.epoch };
  }

  #applyRows(rows: readonly StateRow[]): void {
    for (const row of rows) {
      if (row.key === LOAD_KEY) this.#received = this.#decode(row);
      if (row.key === LEASE_KEY) {
        this.#lease = readLeaseRow(this.#options.follower, row);
      }
    }
  }

  #decode({ value, version }: StateRow): ReceivedRow | undefined {
    if (value === undefined) return undefined;
    const receivedMs = this.#options.clock.nowMs();
    const row = decodeLoadRow(value);
    if (row !== undefined) return { row, version, receivedMs };
    this.#options.log.warn("load.unreadable", { version });
    return undefined;
  }
}
