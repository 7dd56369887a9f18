/**
 * Checks of values that were read back from the state table: an earlier or a later version of this
 * system may have written them, or another writer.
 */
import { unpack } from "msgpackr";

/** The fields of a decoded object. */
export type RowFields = Readonly<Record<string, unknown>>;

/** Returned for bytes that are not msgpack, as `undefined` is a value of msgpack. */
export const NOT_MSGPACK = Symbol("not msgpack");

/** Never throws, whatever the bytes. */
export function unpackValue(value: Uint8Array): unknown {
  try {
    return unpack(value);
  } catch {
    return NOT_MSGPACK;
  }
}

/** The fields of a row; undefined for bytes of another shape. */
export function unpackFields(value: Uint8Array): RowFields | undefined {
  const decoded = unpackValue(value);
  return isFields(decoded) ? decoded : undefined;
}

export function isFields(value: unknown): value is RowFields {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

export function isText(value: unknown): value is string {
  return typeof value === "string";
}

export function isOptionalText(value: unknown): value is string | undefined {
  return value === undefined || typeof value === "string";
}

export function isFlag(value: unknown): value is boolean {
  return typeof value === "boolean";
}

export function isNumber(value: unknown): value is number {
  return typeof value === "number" && Number.isFinite(value);
}

/** A finite number that is not negative. */
export function isAmount(value: unknown): value is number {
  return isNumber(value) && value >= 0;
}

/** An integer that is not negative, of any size. */
export function isIndex(value: unknown): value is number {
  return isAmount(value) && Number.isInteger(value);
}

/** An integer of at least `minimum` that can be counted on exactly. */
export function isCount(value: unknown, minimum = 0): value is number {
  return Number.isSafeInteger(value) && (value as number) >= minimum;
}

/** A list whose items all satisfy the check. */
export function isListOf(
  value: unknown,
  isItem: (item: unknown, position: number) => boolean,
): value is readonly unknown[] {
  return Array.isArray(value) && value.every(isItem);
}
