/**
 * The compact form of the progress of a job. Occurrences that are complete, and the units of a step
 * that are done, are ranges of numbers. Earlier versions of this system can't decode it and skip the
 * job, so that it is used only for progress that is too large in the plain form.
 */
import {
  type CellJobSpec,
  countUnits,
  formatStepKey,
  type ProgressRecord,
  type StepRecord,
} from "@coltsfootpond/policy";
import { isCount, isFields, isListOf } from "./value_checks.ts";

/** The first and the last number. */
export type NumberRange = readonly [first: number, last: number];

export interface CompactProgress {
  /** Occurrences of which all units are done; no step of theirs is listed. */
  readonly complete: readonly NumberRange[];
  /** By `{occurrence}.{step}`. */
  readonly steps: Readonly<Record<string, CompactStepRecord>>;
}

/** As a `StepRecord`, with the units that are done as ranges. */
export type CompactStepRecord =
  & Omit<StepRecord, "done">
  & { readonly done: readonly NumberRange[] };

export type ProgressSpec = Pick<CellJobSpec, "steps" | "recurrence">;

/** Undefined for a record with numbers that the job doesn't have; it has no compact form. */
export function compactRecord(
  record: ProgressRecord,
  spec: ProgressSpec,
): CompactProgress | undefined {
  const isKnown = Object.entries(record).every(([key, { done }]) => {
    const location = parseKey(key, spec);
    return location !== undefined &&
      done.every((index) => index < location.units);
  });
  if (!isKnown) return undefined;
  const occurrences = new Set(
    Object.keys(record).map((key) => Number(key.split(".", 1)[0])),
  );
  const complete = new Set(
    [...occurrences].filter((occurrence) =>
      isComplete(record, spec, occurrence)
    ),
  );
  const steps = Object.entries(record).flatMap(([key, step]) =>
    complete.has(Number(key.split(".", 1)[0]))
      ? []
      : [[key, { ...step, done: createRanges(step.done) }] as const]
  );
  return {
    complete: createRanges([...complete]),
    steps: Object.fromEntries(steps),
  };
}

/**
 * The record of the compact form. Undefined for a value that is none; the steps' other fields are
 * not checked.
 */
export function expandRecord(
  compact: unknown,
  spec: ProgressSpec,
): Readonly<Record<string, unknown>> | undefined {
  if (!isFields(compact) || !isFields(compact.steps)) return undefined;
  const complete = expandRanges(compact.complete, countOccurrences(spec));
  if (complete === undefined) return undefined;
  const record: Record<string, unknown> = {};
  for (const occurrence of complete) {
    for (const [step, { units }] of listSteps(spec).entries()) {
      record[formatStepKey(occurrence, step)] = {
        done: Array.from({ length: units }, (_, index) => index),
        failures: [],
        checkpoints: [],
      };
    }
  }
  for (const [key, step] of Object.entries(compact.steps)) {
    const location = parseKey(key, spec);
    if (location === undefined || !isFields(step)) return undefined;
    const done = expandRanges(step.done, location.units);
    if (done === undefined || key in record) return undefined;
    record[key] = { ...step, done };
  }
  return record;
}

function isComplete(
  record: ProgressRecord,
  spec: ProgressSpec,
  occurrence: number,
): boolean {
  return listSteps(spec).every(({ units, isPersistent }, step) => {
    const { done } = record[formatStepKey(occurrence, step)] ?? {};
    return !isPersistent && done?.length === units;
  });
}

function listSteps({ steps }: ProgressSpec) {
  return steps.map((step) => ({
    units: countUnits(step),
    isPersistent: step.isPersistent,
  }));
}

function countOccurrences({ recurrence }: ProgressSpec): number {
  return recurrence?.times ?? 1;
}

/** Undefined for a key that names no step of the job. */
function parseKey(
  key: string,
  spec: ProgressSpec,
): { readonly units: number } | undefined {
  const [occurrence = -1, step = -1] = key.split(".").map(Number);
  const stepSpec = spec.steps[step];
  const isKnown = stepSpec !== undefined &&
    key === formatStepKey(occurrence, step) && isCount(occurrence) &&
    occurrence < countOccurrences(spec);
  return isKnown ? { units: countUnits(stepSpec) } : undefined;
}

function createRanges(numbers: readonly number[]): readonly NumberRange[] {
  const ranges: [number, number][] = [];
  for (const number of [...numbers].sort((first, second) => first - second)) {
    const range = ranges.at(-1);
    if (range?.[1] === number - 1) range[1] = number;
    else ranges.push([number, number]);
  }
  return ranges;
}

/** Undefined for values that are no ascending ranges of numbers below `limit`. */
function expandRanges(
  ranges: unknown,
  limit: number,
): readonly number[] | undefined {
  if (!isListOf(ranges, isRange)) return undefined;
  const numbers: number[] = [];
  for (const [first, last] of ranges as readonly NumberRange[]) {
    const isNext = first > (numbers.at(-1) ?? -1);
    if (!isNext || last < first || last >= limit) return undefined;
    for (let number = first; number <= last; number++) numbers.push(number);
  }
  return numbers;
}

function isRange(value: unknown): boolean {
  return Array.isArray(value) && value.length === 2 &&
    isListOf(value, (item) => isCount(item));
}
