/** The state store: rows at versions of one counter, changed by conditional transactions. */
import type { Unavailable } from "../types.ts";

/** Tables of the system's own rows, and of what others write for it. */
export const STORE_TABLE = {
  /** Jobs, their progress and the scheduler's lease. */
  STATE: "state",
  /** The operators' declarations; read only. */
  OPERATORS: "operators",
  /** The workers' own records; read only. */
  WORKERS: "workers",
} as const;
export type StoreTable = (typeof STORE_TABLE)[keyof typeof STORE_TABLE];

/**
 * A row at a version of the store's single counter. Deleted rows have no value. In the state table
 * the part of a key before its first slash names its group; one transaction changes one group.
 */
export interface StateRow {
  readonly key: string;
  readonly version: number;
  readonly value: Uint8Array | undefined;
}

/** Version 0 requires that the row does not exist. */
export interface StateCondition {
  readonly key: string;
  readonly version: number;
}

/** All conditions hold and all writes are made, or nothing is. Rows of the state table. */
export interface StateTransaction {
  readonly conditions: readonly StateCondition[];
  readonly puts: readonly {
    readonly key: string;
    readonly value: Uint8Array;
  }[];
  readonly deletes: readonly string[];
}

export type TransactOutcome =
  | { readonly kind: "committed"; readonly version: number }
  /** `rows` are the present rows of the conditions; one that is missing does not exist. */
  | { readonly kind: "conflict"; readonly rows: readonly StateRow[] }
  | Unavailable;

export type StateReadOutcome =
  | {
    readonly kind: "rows";
    readonly rows: readonly StateRow[];
    /** Newest version that the answer reflects. */
    readonly version: number;
  }
  | Unavailable;

export type FollowOutcome =
  | Exclude<StateReadOutcome, Unavailable>
  /** The store no longer has the changes since then; read the table anew. */
  | { readonly kind: "history_lost" }
  | Unavailable;

/** The store: one counter of versions over all tables, linearizable, may be slow or away. */
export interface StateStore {
  transact(
    transaction: StateTransaction,
    timeoutMs: number,
  ): Promise<TransactOutcome>;
  /** Rows of `table` with keys in [fromKey, toKey), all pages. */
  read(
    table: StoreTable,
    range: { readonly fromKey?: string; readonly toKey?: string },
    timeoutMs: number,
  ): Promise<StateReadOutcome>;
  /** Changes after a version, as soon as there is one or `longPollMs` has passed. */
  follow(
    table: StoreTable,
    afterVersion: number,
    longPollMs: number,
    timeoutMs: number,
  ): Promise<FollowOutcome>;
}
