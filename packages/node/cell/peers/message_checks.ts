/**
 * Checks of the messages of peers. A peer may be of another version, or something else may answer at
 * its address.
 */
import {
  type StateCondition,
  type StateRow,
  type StateTransaction,
  STORE_TABLE,
  type StoreTable,
  type Unavailable,
  UNAVAILABLE_EFFECT,
  type UnavailableEffect,
} from "@coltsfootpond/ports";
import type {
  OperatorRowsAnswer,
  OperatorRowsCall,
  StoreCall,
  StoreOutcome,
} from "../peer_messages.ts";
import {
  isAmount,
  isCount,
  isFields,
  isListOf,
  isOptionalText,
  isText,
} from "../state_rows/value_checks.ts";

/** Far above any time-out that is sent, and within what a timer takes. */
const MAXIMUM_TIMEOUT_MS = 60_000;
const TABLES: ReadonlySet<unknown> = new Set(Object.values(STORE_TABLE));
const EFFECTS: ReadonlySet<unknown> = new Set(
  Object.values(UNAVAILABLE_EFFECT),
);

/** A call of the store; undefined for a message of another shape. */
export function readStoreCall(message: unknown): StoreCall | undefined {
  if (!isFields(message) || !Array.isArray(message.arguments)) return undefined;
  const items: readonly unknown[] = message.arguments;
  switch (message.kind) {
    case "transact": {
      const [transaction, timeoutMs] = items;
      return isTransaction(transaction) && isTimeout(timeoutMs)
        ? { kind: "transact", arguments: [transaction, timeoutMs] }
        : undefined;
    }
    case "read": {
      const [table, range, timeoutMs] = items;
      return isTable(table) && isRange(range) && isTimeout(timeoutMs)
        ? { kind: "read", arguments: [table, range, timeoutMs] }
        : undefined;
    }
    case "follow": {
      const [table, afterVersion, longPollMs, timeoutMs] = items;
      return isTable(table) && isCount(afterVersion) &&
          isTimeout(longPollMs) && isTimeout(timeoutMs)
        ? {
          kind: "follow",
          arguments: [table, afterVersion, longPollMs, timeoutMs],
        }
        : undefined;
    }
    default:
      return undefined;
  }
}

/** The outcome of a call of this kind; undefined for a message of another shape. */
export function readStoreOutcome(
  callKind: StoreCall["kind"],
  message: unknown,
): StoreOutcome | undefined {
  if (!isFields(message)) return undefined;
  const { kind, version, rows } = message;
  switch (kind) {
    case "unavailable":
      return readUnavailable(message);
    case "committed":
      return callKind === "transact" && isCount(version)
        ? { kind, version }
        : undefined;
    case "conflict":
      return callKind === "transact" && isRows(rows)
        ? { kind, rows }
        : undefined;
    case "rejected":
      return callKind === "transact" && isText(message.reason)
        ? { kind, reason: message.reason }
        : undefined;
    case "rows":
      return callKind !== "transact" && isRows(rows) && isCount(version)
        ? { kind, rows, version }
        : undefined;
    case "history_lost":
      return callKind === "follow" ? { kind } : undefined;
    default:
      return undefined;
  }
}

/** Undefined for a message of another shape. */
export function readOperatorRowsCall(
  message: unknown,
): OperatorRowsCall | undefined {
  return isFields(message) && isCount(message.afterVersion)
    ? { afterVersion: message.afterVersion }
    : undefined;
}

/** Undefined for a message of another shape. */
export function readOperatorRowsAnswer(
  message: unknown,
): OperatorRowsAnswer | Unavailable | undefined {
  if (!isFields(message)) return undefined;
  if (message.kind === "unavailable") return readUnavailable(message);
  return isRows(message.rows) ? { rows: message.rows } : undefined;
}

function readUnavailable(
  { effect, reason }: Readonly<Record<string, unknown>>,
): Unavailable | undefined {
  return EFFECTS.has(effect) && isText(reason)
    ? { kind: "unavailable", effect: effect as UnavailableEffect, reason }
    : undefined;
}

function isTimeout(value: unknown): value is number {
  return isAmount(value) && value <= MAXIMUM_TIMEOUT_MS;
}

function isTable(value: unknown): value is StoreTable {
  return TABLES.has(value);
}

function isRange(
  value: unknown,
): value is { readonly fromKey?: string; readonly toKey?: string } {
  return isFields(value) && isOptionalText(value.fromKey) &&
    isOptionalText(value.toKey);
}

function isTransaction(value: unknown): value is StateTransaction {
  return isFields(value) && isListOf(value.conditions, isCondition) &&
    isListOf(value.puts, isPut) && isListOf(value.deletes, isText);
}

function isCondition(value: unknown): value is StateCondition {
  return isFields(value) && isText(value.key) && isCount(value.version);
}

function isPut(value: unknown): boolean {
  return isFields(value) && isText(value.key) &&
    value.value instanceof Uint8Array;
}

function isRows(value: unknown): value is readonly StateRow[] {
  return isListOf(value, isRow);
}

function isRow(value: unknown): boolean {
  return isFields(value) && isText(value.key) && isCount(value.version) &&
    (value.value === undefined || value.value instanceof Uint8Array);
}
