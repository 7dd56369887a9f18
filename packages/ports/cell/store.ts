/** The port to the state store: versioned rows, changed by conditional transactions. */
import type { Unavailable } from "../types.ts";

/** The store's tables: this system's own rows, and those that operators and workers write. */
export const STORE_TABLE = {
  /** Rows of this system: jobs, their progress, the scheduler's lease. */
  STATE: "state",
  /** The operators' declarations; this system only reads them. */
  OPERATORS: "operators",
  /** The records that workers keep of themselves; this system only reads them. */
  WORKERS: "workers",
} as const;
export type StoreTable = (typeof STORE_TABLE)[keyof typeof STORE_TABLE];

/**
 * A row. `version` is the value of the store's version counter when the row was last written. A
 * deleted row has no value. In the state table the part of a key before its first slash names its
 * group (a partition); one transaction changes rows of one group.
 */
export interface StateRow {
  readonly key: string;
  readonly version: number;
  readonly value: Uint8Array | undefined;
}

/** Requires that the row has this version; version 0 requires that it does not exist. */
export interface StateCondition {
  readonly key: string;
  readonly version: number;
}

/** Atomic writes to the state table: made only if every condition is satisfied. */
export interface StateTransaction {
  readonly conditions: readonly StateCondition[];
  readonly puts: readonly {
    readonly key: string;
    readonly value: Uint8Array;
  }[];
  readonly deletes: readonly string[];
}

/**
 * The store has answered that the transaction is malformed or too large. It certainly has no effect,
 * and the same transaction never succeeds, so it must not be repeated unchanged.
 */
export interface RejectedTransaction {
  readonly kind: "rejected";
  readonly reason: string;
}

/** An `Unavailable` whose `effect` is `lost`: the transaction may still have been committed. */
export type TransactOutcome =
  | { readonly kind: "committed"; readonly version: number }
  /** `rows` are the current rows of the conditions' keys; a key that has no row is left out. */
  | { readonly kind: "conflict"; readonly rows: readonly StateRow[] }
  | RejectedTransaction
  | Unavailable;

/** Rows of a table. */
export type StateReadOutcome =
  | {
    readonly kind: "rows";
    readonly rows: readonly StateRow[];
    /** The rows include all changes up to this version; `follow` continues from it. */
    readonly version: number;
  }
  | Unavailable;

/** Rows changed since a version; deleted ones have no value. */
export type FollowOutcome =
  | Exclude<StateReadOutcome, Unavailable>
  /** The store no longer has all changes since that version; the table must be read again. */
  | { readonly kind: "history_lost" }
  | Unavailable;

/** A linearizable store with one version counter over all tables; may be slow or unreachable. */
export interface StateStore {
  transact(
    transaction: StateTransaction,
    timeoutMs: number,
  ): Promise<TransactOutcome>;
  /** All rows of `table` with keys in [fromKey, toKey). */
  read(
    table: StoreTable,
    range: { readonly fromKey?: string; readonly toKey?: string },
    timeoutMs: number,
  ): Promise<StateReadOutcome>;
  /** Long poll: resolves at the first change after `afterVersion`, or empty after `longPollMs`. */
  follow(
    table: StoreTable,
    afterVersion: number,
    longPollMs: number,
    timeoutMs: number,
  ): Promise<FollowOutcome>;
}
