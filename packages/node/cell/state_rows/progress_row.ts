/** Decodes the rows of the progress of jobs. */
import { encodeRow, type ProgressRow } from "../rows.ts";
import {
  compactRecord,
  expandRecord,
  type ProgressSpec,
} from "./compact_progress.ts";
import {
  isFields,
  isIndex,
  isListOf,
  isText,
  type RowFields,
  unpackFields,
} from "./value_checks.ts";

/** Larger rows have the compact form, if they have one; the store may count the base64 form. */
const PLAIN_SHARE = 0.5;
/** The names of the fields of a step's record alone; saves the encoding of records over the limit. */
const LEAST_STEP_BYTES = 26;

/** `rowLimitBytes`: the store's limit of the value of a row. */
export function encodeProgressRow(
  row: ProgressRow,
  spec: ProgressSpec,
  rowLimitBytes: number,
): Uint8Array {
  const { writeId, record, placements } = row;
  const maximumBytes = rowLimitBytes * PLAIN_SHARE;
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
