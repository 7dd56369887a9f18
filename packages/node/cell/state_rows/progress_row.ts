/** Decodes the rows of the progress of jobs. */
import { Buffer } from "node:buffer";
import { encodeRow, type ProgressRow } from "../rows.ts";
import {
  compactRecord,
  expandRecord,
  type ProgressSpec,
} from "./compact_progress.ts";
import {
  isCount,
  isFields,
  isIndex,
  isListOf,
  isText,
  type RowFields,
  unpackFields,
} from "./value_checks.ts";

/** Share of the store's limit that is used, as the limit may count the base64 form. */
const USED_SHARE = 0.75;
/** Bytes of one of several rows besides its chunk, rounded up. */
const PART_OVERHEAD_BYTES = 128;
/** Far above what one transaction holds. */
const MAXIMUM_PARTS = 1_000;
/** The names of the fields of a step's record alone; saves the encoding of records over the limit. */
const LEAST_STEP_BYTES = 26;

/**
 * The values of the first row and of the further ones. `rowLimitBytes`: the store's limit of the
 * value of a row.
 */
export function encodeProgress(
  row: ProgressRow,
  spec: ProgressSpec,
  rowLimitBytes: number,
): readonly Uint8Array[] {
  const maximumBytes = rowLimitBytes * USED_SHARE;
  const whole = encodeProgressRow(row, spec, maximumBytes);
  if (whole.byteLength <= maximumBytes) return [whole];
  const { writeId } = row;
  const chunkBytes = Math.max(
    1,
    Math.floor(maximumBytes) - PART_OVERHEAD_BYTES,
  );
  const parts = Math.ceil(whole.byteLength / chunkBytes) - 1;
  return Array.from({ length: parts + 1 }, (_, part) => {
    const chunk = whole.subarray(part * chunkBytes, (part + 1) * chunkBytes);
    return encodeRow(
      part === 0 ? { writeId, parts, chunk } : { writeId, part, chunk },
    );
  });
}

/** The id of the write of a progress row in any form; undefined for a value without one. */
export function decodeWriteId(value: Uint8Array): string | undefined {
  const writeId = unpackFields(value)?.writeId;
  return isText(writeId) ? writeId : undefined;
}

/** Number of further rows that a value of the first one names. */
export function countParts(value: Uint8Array): number {
  const parts = unpackFields(value)?.parts;
  return isCount(parts, 1) && parts <= MAXIMUM_PARTS ? parts : 0;
}

/**
 * The value of the whole progress row. Undefined when a further row is missing or of another write,
 * as while the copy of the table has only a part of a transaction.
 */
export function joinProgress(
  first: Uint8Array,
  getPart: (part: number) => Uint8Array | undefined,
): Uint8Array | undefined {
  const parts = countParts(first);
  if (parts === 0) return first;
  const head = unpackFields(first);
  const chunks = [head?.chunk];
  for (let part = 1; part <= parts; part++) {
    const value = getPart(part);
    const row = value === undefined ? undefined : unpackFields(value);
    if (row?.writeId !== head?.writeId || row?.part !== part) return undefined;
    chunks.push(row.chunk);
  }
  const isWhole = chunks.every((chunk) => chunk instanceof Uint8Array);
  return isWhole ? Buffer.concat(chunks as Uint8Array[]) : undefined;
}

function encodeProgressRow(
  row: ProgressRow,
  spec: ProgressSpec,
  maximumBytes: number,
): Uint8Array {
  const { writeId, record, placements } = row;
  const leastBytes = Object.keys(record).length * LEAST_STEP_BYTES;
  if (leastBytes <= maximumBytes) {
    const plain = encodeRow(row);
    if (plain.byteLength <= maximumBytes) return plain;
  }
  const compact = compactRecord(record, spec);
  return encodeRow(
    compact === undefined ? row : { writeId, compact, placements },
  );
}

/** The progress of the job; undefined for a value that is none, or that names unknown steps. */
export function decodeProgressRow(
  value: Uint8Array,
  spec: ProgressSpec,
): ProgressRow | undefined {
  const row = unpackFields(value);
  if (row === undefined || !isText(row.writeId)) return undefined;
  const { record } = row;
  if (record === undefined) {
    const { writeId, compact, placements } = row;
    const expanded = expandRecord(compact, spec);
    return checkRow({ writeId, record: expanded, placements }, spec);
  }
  return checkRow(row, spec);
}

function checkRow(
  row: RowFields,
  { steps }: ProgressSpec,
): ProgressRow | undefined {
  if (!isFields(row.record)) return undefined;
  const isValid =
    Object.entries(row.record).every(([key, record]) =>
      isStepKey(key, steps.length) && isStepRecord(record)
    ) && isListOf(row.placements, isPlacement);
  return isValid ? row as unknown as ProgressRow : undefined;
}

/** Numbers as `parseTaskName` accepts them, as records follow the names that workers list. */
function isStepKey(key: string, steps: number): boolean {
  const numbers = parseNumbers(key);
  return numbers.length === 2 && numbers.every(isIndex) && numbers[1]! < steps;
}

function isUnitKey(key: unknown): boolean {
  if (!isText(key)) return false;
  const numbers = parseNumbers(key);
  return numbers.length === 3 && numbers.every(isIndex);
}

function parseNumbers(key: string): readonly number[] {
  return key.split(".").map(Number);
}

function isStepRecord(value: unknown): boolean {
  return isFields(value) && isListOf(value.done, isIndex) &&
    isListOf(value.failures, isFailure) &&
    isListOf(value.checkpoints, isCheckpoint) &&
    (value.crashes === undefined || isListOf(value.crashes, isCrash));
}

function isFailure(value: unknown): boolean {
  return Array.isArray(value) && isIndex(value[0]) && isRun(value[1]);
}

function isCheckpoint(value: unknown): boolean {
  return Array.isArray(value) && isIndex(value[0]) && isText(value[1]);
}

function isCrash(value: unknown): boolean {
  return Array.isArray(value) && isIndex(value[0]) && isRun(value[1]) &&
    isText(value[2]) && isText(value[3]);
}

/** As workers list it, of any size. */
function isRun(value: unknown): boolean {
  return typeof value === "number";
}

function isPlacement(value: unknown): boolean {
  if (!Array.isArray(value)) return false;
  const [unit, run, workers, starts] = value as unknown[];
  return isUnitKey(unit) && isRun(run) && isListOf(workers, isText) &&
    (starts === undefined ||
      isListOf(starts, isRun) && starts.length === workers.length);
}
