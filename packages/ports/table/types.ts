/** Types of the table client: priorities of writes, and the health of the table service. */
import type { ResultName, ValueOf } from "@coltsfootpond/common";
import type {
  CallOptions,
  TablePort,
  TableTransaction,
  TransactionOutcome,
} from "../types.ts";

/** Ranks of waiting writes; a lower number is sent first. */
export const WRITE_PRIORITY = {
  OWNERSHIP: 0,
  FAILURE_DOMAIN: 1,
  ANSWER: 2,
  OTHER: 3,
} as const;
export type WritePriority = ValueOf<typeof WRITE_PRIORITY>;

/** Time-out and rank of one write. The default rank is `OTHER`. */
export interface PrioritisedCallOptions extends CallOptions {
  readonly rank?: WritePriority;
}

/** A table service that sends waiting writes in order of rank. */
export interface PrioritisedTablePort extends TablePort {
  transact(
    transaction: TableTransaction,
    options: PrioritisedCallOptions,
  ): Promise<TransactionOutcome>;
}

/** Health of the table service, from this process's last attempt at a call. */
export const TABLE_HEALTH = { UP: "up", SLOW: "slow", DOWN: "down" } as const;
export type TableHealth = ValueOf<typeof TABLE_HEALTH>;

/** The result code for a table call that returned `Unavailable`. */
export function getUnavailableResult(effect: "refused" | "lost"): ResultName {
  return effect === "refused" ? "TABLE_UNAVAILABLE" : "TABLE_UNSETTLED";
}
