/** Decodes the rows of jobs. */
import {
  type CellJobId,
  type CellJobSpec,
  FAILURE_REASON,
  JOB_STATE,
} from "@coltsfootpond/policy";
import type { JobRow, RefusalRow } from "../rows.ts";
import {
  isAmount,
  isCount,
  isFields,
  isFlag,
  isIndex,
  isListOf,
  isNumber,
  isOptionalText,
  isText,
  type RowFields,
  unpackFields,
} from "./value_checks.ts";

/**
 * Tasks of one job over all steps and occurrences, five times as many as callers may submit: the
 * lease holder keeps each due task in memory.
 */
const MAXIMUM_JOB_TASKS = 100_000;
const ENDED_STATES: ReadonlySet<unknown> = new Set([
  JOB_STATE.COMPLETED,
  JOB_STATE.FAILED,
  JOB_STATE.CANCELLED,
]);
const FAILURE_REASONS: ReadonlySet<unknown> = new Set(
  Object.values(FAILURE_REASON),
);

/** The row of the job with this id; undefined for any other value. */
export function decodeJobRow(
  jobId: CellJobId,
  value: Uint8Array,
): JobRow | undefined {
  const row = unpackFields(value);
  switch (row?.kind) {
    case "live":
      return isSpec(row.spec) && row.spec.jobId === jobId
        ? row as unknown as JobRow
        : undefined;
    case "ended":
      return readEnded(row);
    case "barred":
      return isBarred(row) ? row as unknown as JobRow : undefined;
    default:
      return undefined;
  }
}

/** Undefined for a value that is no marker of refusals. */
export function decodeRefusalRow(value: Uint8Array): RefusalRow | undefined {
  const row = unpackFields(value);
  const isValid = row?.kind === "refused" && isNumber(row.endedUnixMs);
  return isValid ? row as unknown as RefusalRow : undefined;
}

/** A later version may know more reasons; the state counts without them. */
function readEnded(row: RowFields): JobRow | undefined {
  const isValid = ENDED_STATES.has(row.state) && isOrigin(row) &&
    isNumber(row.endedUnixMs);
  if (!isValid) return undefined;
  if (row.reason === undefined || FAILURE_REASONS.has(row.reason)) {
    return row as unknown as JobRow;
  }
  const { reason: _, ...rest } = row;
  return rest as unknown as JobRow;
}

function isSpec(value: unknown): value is CellJobSpec {
  return isFields(value) && isText(value.jobId) && isOrigin(value) &&
    isText(value.service) &&
    isNumber(value.priority) && isNumber(value.maximumAttempts) &&
    isNumber(value.stretch) && isNumber(value.allowanceMs) &&
    isNumber(value.acceptedUnixMs) && isText(value.payload) &&
    isListOf(value.steps, isStep) && value.steps.length > 0 &&
    isRecurrence(value.recurrence) &&
    countTasks(value as unknown as CellJobSpec) <= MAXIMUM_JOB_TASKS;
}

function isBarred({ endedUnixMs, origin }: RowFields): boolean {
  return isNumber(endedUnixMs) &&
    (origin === undefined || isFields(origin) && isOrigin(origin));
}

function isOrigin(fields: RowFields): boolean {
  return isText(fields.queue) && isOptionalText(fields.organisation) &&
    isOptionalText(fields.addressTag) && isOptionalText(fields.keyTag);
}

function isStep(value: unknown, position: number): boolean {
  return isFields(value) && isCount(value.count, 1) &&
    isResources(value.need) && isAmount(value.estimateMs) &&
    isListOf(value.after, (step) => isIndex(step) && step < position) &&
    isFlag(value.savesProgress) && isFlag(value.isGang) &&
    isFlag(value.isRackBound) && isOptionalText(value.requiredLabel) &&
    isOptionalText(value.dataRack) &&
    (value.maximumPerWorker === undefined ||
      isAmount(value.maximumPerWorker)) &&
    isFlag(value.isPersistent) && isFlag(value.isFiller);
}

function isResources(value: unknown): boolean {
  return isFields(value) && isAmount(value.cpuMilli) &&
    isAmount(value.memoryMib) && isAmount(value.accelerators);
}

function isRecurrence(value: unknown): boolean {
  return value === undefined ||
    isFields(value) && isCount(value.times, 1) &&
      isNumber(value.firstRunUnixMs) && isAmount(value.intervalMs);
}

function countTasks({ steps, recurrence }: CellJobSpec): number {
  const tasks = steps.reduce((sum, { count }) => sum + count, 0);
  return tasks * (recurrence?.times ?? 1);
}
