/** Types of the table client: ranks of writes and what it knows of the service's health. */
import type { ResultName, ValueOf } from "@coltsfootpond/common";
import type {
  CallOptions,
  TablePort,
  TableTransaction,
  TransactionOutcome,
} from "../types.ts";

/** Order in which waiting writes go out; lower first. */
export const WRITE_PRIORITY = {
  OWNERSHIP: 0,
  FAILURE_DOMAIN: 1,
  ANSWER: 2,
  REST: 3,
} as const;
export type WritePriority = ValueOf<typeof WRITE_PRIORITY>;

/** Bound and rank of one write. The default rank is `REST`. */
export interface PrioritisedCallOptions extends CallOptions {
  readonly rank?: WritePriority;
}

/** A table service whose writes are ranked. */
export interface PrioritisedTablePort extends TablePort {
  transact(
    transaction: TableTransaction,
    options: PrioritisedCallOptions,
  ): Promise<TransactionOutcome>;
}

/** What the last calls tell of the table service, as seen from this process. */
export const TABLE_HEALTH = { UP: "up", SLOW: "slow", DOWN: "down" } as const;
export type TableHealth = ValueOf<typeof TABLE_HEALTH>;

/** The result code for a call that got no usable answer. */
export function getUnavailableResult(effect: "refused" | "lost"): ResultName {
  return effect === "refused" ? "TABLE_UNAVAILABLE" : "TABLE_UNSETTLED";
}
